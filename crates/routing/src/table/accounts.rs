//! The client accounts of a configuration, for lookup by the key that a call carries.

use cyclamen_declarations::{AccountKey, ClientAccount, Criticality};
use cyclamen_ledger::Config;
use cyclamen_types::{AccountName, FastMap};

use crate::call::{CallHead, Credential};

/// What the router needs of a client account for a call.
#[derive(Clone, Debug)]
pub(crate) struct CallAccount {
    pub(crate) name: AccountName,
    /// Takes the place of the route's; `None` leaves it to the route.
    pub(crate) criticality: Option<Criticality>,
}

/// The client account of a call could not be told, and its route needs one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct NoAccount;

/// The client accounts of a configuration by the digests of their keys. The default has no
/// accounts, so that calls need no key.
#[derive(Clone, Debug, Default)]
pub struct AccountTable {
    by_key: FastMap<AccountKey, CallAccount>,
    accounts: usize,
    shared_keys: usize,
}

impl AccountTable {
    /// Compiles the accounts of a configuration. A key that several accounts hold is the one's that
    /// comes first by name.
    pub(super) fn build(config: &Config) -> Self {
        let mut table = Self { accounts: config.accounts.len(), ..Self::default() };
        for account in config.accounts.values() {
            table.insert(account);
        }
        table
    }

    fn insert(&mut self, account: &ClientAccount) {
        for key in &account.keys {
            match self.by_key.get(key) {
                Some(holder) if holder.name == account.name => {}
                Some(_) => self.shared_keys += 1,
                None => {
                    let name = account.name.clone();
                    let criticality = account.criticality;
                    self.by_key.insert(*key, CallAccount { name, criticality });
                }
            }
        }
    }

    /// Whether calls need a key, but for those of open routes.
    pub fn are_required(&self) -> bool {
        self.accounts > 0
    }

    /// How many keys were passed over because another account holds them.
    pub fn shared_keys(&self) -> usize {
        self.shared_keys
    }

    /// The account of a call of a route, `None` if it is of none. Calls that backend servers make
    /// while they run others have no key and need none.
    pub(crate) fn account_of(
        &self,
        head: &CallHead<'_>,
        open: bool,
    ) -> Result<Option<&CallAccount>, NoAccount> {
        if !self.are_required() {
            return Ok(None);
        }
        let account = match head.credential {
            Credential::Key(key) => self.by_key.get(&key),
            Credential::Absent { may_be_nested: true } => return Ok(None),
            Credential::Absent { may_be_nested: false } | Credential::Unusable => None,
        };
        if account.is_none() && !open {
            return Err(NoAccount);
        }
        Ok(account)
    }
}
