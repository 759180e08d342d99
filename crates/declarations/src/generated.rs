//! Border types, generated from schema/declarations.schema.json by cyclamen-schemagen; not edited by hand.

/// Error types.
pub mod error {
    /// Error from a `TryFrom` or `FromStr` implementation.
    pub struct ConversionError(::std::borrow::Cow<'static, str>);
    impl ::std::error::Error for ConversionError {}
    impl ::std::fmt::Display for ConversionError {
        fn fmt(
            &self,
            f: &mut ::std::fmt::Formatter<'_>,
        ) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Display::fmt(&self.0, f)
        }
    }
    impl ::std::fmt::Debug for ConversionError {
        fn fmt(
            &self,
            f: &mut ::std::fmt::Formatter<'_>,
        ) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Debug::fmt(&self.0, f)
        }
    }
    impl From<&'static str> for ConversionError {
        fn from(value: &'static str) -> Self {
            Self(value.into())
        }
    }
    impl From<String> for ConversionError {
        fn from(value: String) -> Self {
            Self(value.into())
        }
    }
}
///A change file: its declarations are accepted or refused together.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "A change file: its declarations are accepted or refused together.",
///  "type": "object",
///  "properties": {
///    "declarations": {
///      "description": "What the change puts, deletes and orders.",
///      "type": "array",
///      "items": {
///        "$ref": "#/definitions/Item"
///      }
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct ChangeFile {
    ///What the change puts, deletes and orders.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub declarations: ::std::vec::Vec<Item>,
}
impl ::std::convert::From<&ChangeFile> for ChangeFile {
    fn from(value: &ChangeFile) -> Self {
        value.clone()
    }
}
impl ::std::default::Default for ChangeFile {
    fn default() -> Self {
        Self {
            declarations: Default::default(),
        }
    }
}
///A record of kind `change`.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "A record of kind `change`.",
///  "type": "object",
///  "properties": {
///    "declarations": {
///      "description": "Its items.",
///      "type": "array",
///      "items": {
///        "$ref": "#/definitions/Item"
///      }
///    },
///    "format": {
///      "description": "1.",
///      "type": "integer",
///      "format": "uint32",
///      "minimum": 0.0
///    },
///    "id": {
///      "description": "Makes a repeated append count once.",
///      "type": "string"
///    },
///    "kind": {
///      "description": "`change`.",
///      "type": "string"
///    },
///    "team": {
///      "description": "The team that published it.",
///      "type": "string"
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct ChangeRecord {
    ///Its items.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub declarations: ::std::vec::Vec<Item>,
    ///1.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub format: ::std::option::Option<u32>,
    ///Makes a repeated append count once.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub id: ::std::option::Option<::std::string::String>,
    ///`change`.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub kind: ::std::option::Option<::std::string::String>,
    ///The team that published it.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub team: ::std::option::Option<::std::string::String>,
}
impl ::std::convert::From<&ChangeRecord> for ChangeRecord {
    fn from(value: &ChangeRecord) -> Self {
        value.clone()
    }
}
impl ::std::default::Default for ChangeRecord {
    fn default() -> Self {
        Self {
            declarations: Default::default(),
            format: Default::default(),
            id: Default::default(),
            kind: Default::default(),
            team: Default::default(),
        }
    }
}
///A deletion.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "A deletion.",
///  "type": "object",
///  "properties": {
///    "kind": {
///      "$ref": "#/definitions/DeclarationKind"
///    },
///    "name": {
///      "description": "Name of the declaration.",
///      "type": "string"
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct DeleteBody {
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub kind: ::std::option::Option<crate::DeclarationKind>,
    ///Name of the declaration.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub name: ::std::option::Option<::std::string::String>,
}
impl ::std::convert::From<&DeleteBody> for DeleteBody {
    fn from(value: &DeleteBody) -> Self {
        value.clone()
    }
}
impl ::std::default::Default for DeleteBody {
    fn default() -> Self {
        Self {
            kind: Default::default(),
            name: Default::default(),
        }
    }
}
///A header that a route demands.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "A header that a route demands.",
///  "type": "object",
///  "properties": {
///    "name": {
///      "description": "Its name.",
///      "type": "string"
///    },
///    "value": {
///      "description": "Its exact value; any when absent.",
///      "type": "string"
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct HeaderBody {
    ///Its name.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub name: ::std::option::Option<::std::string::String>,
    ///Its exact value; any when absent.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub value: ::std::option::Option<::std::string::String>,
}
impl ::std::convert::From<&HeaderBody> for HeaderBody {
    fn from(value: &HeaderBody) -> Self {
        value.clone()
    }
}
impl ::std::default::Default for HeaderBody {
    fn default() -> Self {
        Self {
            name: Default::default(),
            value: Default::default(),
        }
    }
}
///A declaration in a snapshot.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "A declaration in a snapshot.",
///  "type": "object",
///  "properties": {
///    "item": {
///      "$ref": "#/definitions/Item"
///    },
///    "offset": {
///      "description": "The record that wrote it last.",
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "order": {
///      "$ref": "#/definitions/OrderAction"
///    },
///    "team": {
///      "description": "Whose it is.",
///      "type": "string"
///    },
///    "verdict": {
///      "$ref": "#/definitions/VerdictItem"
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct HeldItem {
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub item: ::std::option::Option<Item>,
    ///The record that wrote it last.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub offset: ::std::option::Option<u64>,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub order: ::std::option::Option<crate::OrderAction>,
    ///Whose it is.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub team: ::std::option::Option<::std::string::String>,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub verdict: ::std::option::Option<VerdictItem>,
}
impl ::std::convert::From<&HeldItem> for HeldItem {
    fn from(value: &HeldItem) -> Self {
        value.clone()
    }
}
impl ::std::default::Default for HeldItem {
    fn default() -> Self {
        Self {
            item: Default::default(),
            offset: Default::default(),
            order: Default::default(),
            team: Default::default(),
            verdict: Default::default(),
        }
    }
}
///One item of a change: a declaration, a deletion or an order. Exactly one of the seven kinds is given.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "One item of a change: a declaration, a deletion or an order. Exactly one of the seven kinds is given.",
///  "type": "object",
///  "properties": {
///    "base": {
///      "description": "Offset of the record that this edit started from.",
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "delete": {
///      "$ref": "#/definitions/DeleteBody"
///    },
///    "move": {
///      "$ref": "#/definitions/MoveBody"
///    },
///    "name": {
///      "description": "Name of the declaration; `SERVICE/VERSION` for a version.",
///      "type": "string"
///    },
///    "order": {
///      "$ref": "#/definitions/OrderBody"
///    },
///    "policy": {
///      "$ref": "#/definitions/PolicyBody"
///    },
///    "route": {
///      "$ref": "#/definitions/RouteBody"
///    },
///    "service": {
///      "$ref": "#/definitions/ServiceBody"
///    },
///    "version": {
///      "$ref": "#/definitions/VersionBody"
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct Item {
    ///Offset of the record that this edit started from.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub base: ::std::option::Option<u64>,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub delete: ::std::option::Option<DeleteBody>,
    #[serde(
        rename = "move",
        default,
        skip_serializing_if = "::std::option::Option::is_none"
    )]
    pub move_: ::std::option::Option<MoveBody>,
    ///Name of the declaration; `SERVICE/VERSION` for a version.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub name: ::std::option::Option<::std::string::String>,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub order: ::std::option::Option<OrderBody>,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub policy: ::std::option::Option<PolicyBody>,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub route: ::std::option::Option<RouteBody>,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub service: ::std::option::Option<ServiceBody>,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub version: ::std::option::Option<VersionBody>,
}
impl ::std::convert::From<&Item> for Item {
    fn from(value: &Item) -> Self {
        value.clone()
    }
}
impl ::std::default::Default for Item {
    fn default() -> Self {
        Self {
            base: Default::default(),
            delete: Default::default(),
            move_: Default::default(),
            name: Default::default(),
            order: Default::default(),
            policy: Default::default(),
            route: Default::default(),
            service: Default::default(),
            version: Default::default(),
        }
    }
}
///Labels for selectors.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Labels for selectors.",
///  "type": "object",
///  "additionalProperties": {
///    "type": "string"
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(transparent)]
pub struct LabelMap(
    pub ::std::collections::BTreeMap<::std::string::String, ::std::string::String>,
);
impl ::std::ops::Deref for LabelMap {
    type Target = ::std::collections::BTreeMap<
        ::std::string::String,
        ::std::string::String,
    >;
    fn deref(
        &self,
    ) -> &::std::collections::BTreeMap<::std::string::String, ::std::string::String> {
        &self.0
    }
}
impl ::std::convert::From<LabelMap>
for ::std::collections::BTreeMap<::std::string::String, ::std::string::String> {
    fn from(value: LabelMap) -> Self {
        value.0
    }
}
impl ::std::convert::From<&LabelMap> for LabelMap {
    fn from(value: &LabelMap) -> Self {
        value.clone()
    }
}
impl ::std::convert::From<
    ::std::collections::BTreeMap<::std::string::String, ::std::string::String>,
> for LabelMap {
    fn from(
        value: ::std::collections::BTreeMap<::std::string::String, ::std::string::String>,
    ) -> Self {
        Self(value)
    }
}
///Limits of a service at one backend server.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Limits of a service at one backend server.",
///  "type": "object",
///  "properties": {
///    "body_bytes": {
///      "description": "Largest body of a call.",
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "queue": {
///      "description": "Calls that may wait for a slot.",
///      "type": "integer",
///      "format": "uint32",
///      "minimum": 0.0
///    },
///    "queue_wait": {
///      "description": "Longest wait for a slot, such as `50ms`.",
///      "type": "string"
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct LimitsBody {
    ///Largest body of a call.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub body_bytes: ::std::option::Option<u64>,
    ///Calls that may wait for a slot.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub queue: ::std::option::Option<u32>,
    ///Longest wait for a slot, such as `50ms`.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub queue_wait: ::std::option::Option<::std::string::String>,
}
impl ::std::convert::From<&LimitsBody> for LimitsBody {
    fn from(value: &LimitsBody) -> Self {
        value.clone()
    }
}
impl ::std::default::Default for LimitsBody {
    fn default() -> Self {
        Self {
            body_bytes: Default::default(),
            queue: Default::default(),
            queue_wait: Default::default(),
        }
    }
}
///The calls that a route takes.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "The calls that a route takes.",
///  "type": "object",
///  "properties": {
///    "headers": {
///      "description": "All of these headers.",
///      "type": "array",
///      "items": {
///        "$ref": "#/definitions/HeaderBody"
///      }
///    },
///    "hosts": {
///      "description": "Any of these hosts, such as `dvere.example` or `*.example`.",
///      "type": "array",
///      "items": {
///        "type": "string"
///      }
///    },
///    "path_prefix": {
///      "description": "The path starts with this: whole segments without a `/` at its end, and not the path without that `/` with one.",
///      "type": "string"
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct MatchBody {
    ///All of these headers.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub headers: ::std::vec::Vec<HeaderBody>,
    ///Any of these hosts, such as `dvere.example` or `*.example`.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub hosts: ::std::vec::Vec<::std::string::String>,
    ///The path starts with this: whole segments without a `/` at its end, and not the path without that `/` with one.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub path_prefix: ::std::option::Option<::std::string::String>,
}
impl ::std::convert::From<&MatchBody> for MatchBody {
    fn from(value: &MatchBody) -> Self {
        value.clone()
    }
}
impl ::std::default::Default for MatchBody {
    fn default() -> Self {
        Self {
            headers: Default::default(),
            hosts: Default::default(),
            path_prefix: Default::default(),
        }
    }
}
///A move of a service's traffic from one version to another.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "A move of a service's traffic from one version to another.",
///  "type": "object",
///  "properties": {
///    "clash": {
///      "$ref": "#/definitions/ClashRule"
///    },
///    "deadline": {
///      "description": "All traffic on `to`: RFC 3339, or `+10m` after publication.",
///      "type": "string"
///    },
///    "from": {
///      "description": "The version that has the traffic.",
///      "type": "string"
///    },
///    "service": {
///      "description": "The service.",
///      "type": "string"
///    },
///    "start": {
///      "description": "First calls to `to`: RFC 3339, or `+30s` after publication; at publication when absent.",
///      "type": "string"
///    },
///    "to": {
///      "description": "The version that gets it.",
///      "type": "string"
///    },
///    "tolerance_ppm": {
///      "description": "Highest added failure rate, in parts per million.",
///      "type": "integer",
///      "format": "uint32",
///      "minimum": 0.0
///    },
///    "watch": {
///      "description": "How long evidence is gathered after the last stage.",
///      "type": "string"
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct MoveBody {
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub clash: ::std::option::Option<crate::ClashRule>,
    ///All traffic on `to`: RFC 3339, or `+10m` after publication.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub deadline: ::std::option::Option<::std::string::String>,
    ///The version that has the traffic.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub from: ::std::option::Option<::std::string::String>,
    ///The service.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub service: ::std::option::Option<::std::string::String>,
    ///First calls to `to`: RFC 3339, or `+30s` after publication; at publication when absent.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub start: ::std::option::Option<::std::string::String>,
    ///The version that gets it.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub to: ::std::option::Option<::std::string::String>,
    ///Highest added failure rate, in parts per million.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub tolerance_ppm: ::std::option::Option<u32>,
    ///How long evidence is gathered after the last stage.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub watch: ::std::option::Option<::std::string::String>,
}
impl ::std::convert::From<&MoveBody> for MoveBody {
    fn from(value: &MoveBody) -> Self {
        value.clone()
    }
}
impl ::std::default::Default for MoveBody {
    fn default() -> Self {
        Self {
            clash: Default::default(),
            deadline: Default::default(),
            from: Default::default(),
            service: Default::default(),
            start: Default::default(),
            to: Default::default(),
            tolerance_ppm: Default::default(),
            watch: Default::default(),
        }
    }
}
///An order to a move.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "An order to a move.",
///  "type": "object",
///  "properties": {
///    "action": {
///      "$ref": "#/definitions/OrderAction"
///    },
///    "move": {
///      "description": "The move.",
///      "type": "string"
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct OrderBody {
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub action: ::std::option::Option<crate::OrderAction>,
    ///The move.
    #[serde(
        rename = "move",
        default,
        skip_serializing_if = "::std::option::Option::is_none"
    )]
    pub move_: ::std::option::Option<::std::string::String>,
}
impl ::std::convert::From<&OrderBody> for OrderBody {
    fn from(value: &OrderBody) -> Self {
        value.clone()
    }
}
impl ::std::default::Default for OrderBody {
    fn default() -> Self {
        Self {
            action: Default::default(),
            move_: Default::default(),
        }
    }
}
///Limits and retries attached by selectors.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Limits and retries attached by selectors.",
///  "type": "object",
///  "properties": {
///    "limits": {
///      "$ref": "#/definitions/LimitsBody"
///    },
///    "priority": {
///      "description": "Higher wins, field by field.",
///      "type": "integer",
///      "format": "int32"
///    },
///    "proxies": {
///      "description": "Selector of proxies; all when absent.",
///      "type": "string"
///    },
///    "retries": {
///      "$ref": "#/definitions/RetriesBody"
///    },
///    "services": {
///      "description": "Selector of services; all when absent.",
///      "type": "string"
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct PolicyBody {
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub limits: ::std::option::Option<LimitsBody>,
    ///Higher wins, field by field.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub priority: ::std::option::Option<i32>,
    ///Selector of proxies; all when absent.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub proxies: ::std::option::Option<::std::string::String>,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub retries: ::std::option::Option<RetriesBody>,
    ///Selector of services; all when absent.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub services: ::std::option::Option<::std::string::String>,
}
impl ::std::convert::From<&PolicyBody> for PolicyBody {
    fn from(value: &PolicyBody) -> Self {
        value.clone()
    }
}
impl ::std::default::Default for PolicyBody {
    fn default() -> Self {
        Self {
            limits: Default::default(),
            priority: Default::default(),
            proxies: Default::default(),
            retries: Default::default(),
            services: Default::default(),
        }
    }
}
///What every record starts with. A reader skips records of a format or kind that it does not know.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "What every record starts with. A reader skips records of a format or kind that it does not know.",
///  "type": "object",
///  "properties": {
///    "format": {
///      "description": "The rules that the record is folded by; never changed once in use.",
///      "type": "integer",
///      "format": "uint32",
///      "minimum": 0.0
///    },
///    "kind": {
///      "description": "`change`, `verdict`, `snapshot` or `peers`.",
///      "type": "string"
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
pub struct RecordHead {
    ///The rules that the record is folded by; never changed once in use.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub format: ::std::option::Option<u32>,
    ///`change`, `verdict`, `snapshot` or `peers`.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub kind: ::std::option::Option<::std::string::String>,
}
impl ::std::convert::From<&RecordHead> for RecordHead {
    fn from(value: &RecordHead) -> Self {
        value.clone()
    }
}
impl ::std::default::Default for RecordHead {
    fn default() -> Self {
        Self {
            format: Default::default(),
            kind: Default::default(),
        }
    }
}
///A change that was refused.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "A change that was refused.",
///  "type": "object",
///  "properties": {
///    "faults": {
///      "description": "Why it was refused; empty long after.",
///      "type": "array",
///      "items": {
///        "type": "string"
///      }
///    },
///    "id": {
///      "description": "The change.",
///      "type": "string"
///    },
///    "offset": {
///      "description": "Its record.",
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "print": {
///      "description": "Tells it from another change under the same id.",
///      "type": "integer",
///      "format": "uint32",
///      "minimum": 0.0
///    },
///    "stale_base": {
///      "description": "Whether another change came in between.",
///      "type": "boolean"
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct RefusedItem {
    ///Why it was refused; empty long after.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub faults: ::std::vec::Vec<::std::string::String>,
    ///The change.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub id: ::std::option::Option<::std::string::String>,
    ///Its record.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub offset: ::std::option::Option<u64>,
    ///Tells it from another change under the same id.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub print: ::std::option::Option<u32>,
    ///Whether another change came in between.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub stale_base: ::std::option::Option<bool>,
}
impl ::std::convert::From<&RefusedItem> for RefusedItem {
    fn from(value: &RefusedItem) -> Self {
        value.clone()
    }
}
impl ::std::default::Default for RefusedItem {
    fn default() -> Self {
        Self {
            faults: Default::default(),
            id: Default::default(),
            offset: Default::default(),
            print: Default::default(),
            stale_base: Default::default(),
        }
    }
}
///Retries of a service.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Retries of a service.",
///  "type": "object",
///  "properties": {
///    "attempts": {
///      "description": "Attempts in all, the first included.",
///      "type": "integer",
///      "format": "uint32",
///      "minimum": 0.0
///    },
///    "budget_percent": {
///      "description": "Retries as a share of calls.",
///      "type": "integer",
///      "format": "uint32",
///      "minimum": 0.0
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct RetriesBody {
    ///Attempts in all, the first included.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub attempts: ::std::option::Option<u32>,
    ///Retries as a share of calls.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub budget_percent: ::std::option::Option<u32>,
}
impl ::std::convert::From<&RetriesBody> for RetriesBody {
    fn from(value: &RetriesBody) -> Self {
        value.clone()
    }
}
impl ::std::default::Default for RetriesBody {
    fn default() -> Self {
        Self {
            attempts: Default::default(),
            budget_percent: Default::default(),
        }
    }
}
///A route.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "A route.",
///  "type": "object",
///  "properties": {
///    "attempts": {
///      "description": "Backend servers that one call may be sent to; as the policies say when absent.",
///      "type": "integer",
///      "format": "uint32",
///      "minimum": 0.0
///    },
///    "criticality": {
///      "$ref": "#/definitions/Criticality"
///    },
///    "idempotence": {
///      "$ref": "#/definitions/Idempotence"
///    },
///    "match": {
///      "$ref": "#/definitions/MatchBody"
///    },
///    "priority": {
///      "description": "Higher goes first among routes that match alike.",
///      "type": "integer",
///      "format": "int32"
///    },
///    "proxies": {
///      "description": "Selector of the proxies that hold it; all when absent.",
///      "type": "string"
///    },
///    "service": {
///      "description": "Where its calls go.",
///      "type": "string"
///    },
///    "services": {
///      "description": "Shares by service; they take the place of `service`.",
///      "type": "array",
///      "items": {
///        "$ref": "#/definitions/ServiceWeightBody"
///      }
///    },
///    "split": {
///      "description": "Fixed shares by version.",
///      "type": "array",
///      "items": {
///        "$ref": "#/definitions/WeightBody"
///      }
///    },
///    "sticky": {
///      "description": "Header whose value keeps a caller's calls on one version.",
///      "type": "string"
///    },
///    "target": {
///      "description": "Time within which an answer is wanted, such as `300ms`; calls that can still make it go first.",
///      "type": "string"
///    },
///    "timeout": {
///      "description": "Longest time for a call, retries included, such as `800ms`.",
///      "type": "string"
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct RouteBody {
    ///Backend servers that one call may be sent to; as the policies say when absent.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub attempts: ::std::option::Option<u32>,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub criticality: ::std::option::Option<crate::Criticality>,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub idempotence: ::std::option::Option<crate::Idempotence>,
    #[serde(
        rename = "match",
        default,
        skip_serializing_if = "::std::option::Option::is_none"
    )]
    pub match_: ::std::option::Option<MatchBody>,
    ///Higher goes first among routes that match alike.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub priority: ::std::option::Option<i32>,
    ///Selector of the proxies that hold it; all when absent.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub proxies: ::std::option::Option<::std::string::String>,
    ///Where its calls go.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub service: ::std::option::Option<::std::string::String>,
    ///Shares by service; they take the place of `service`.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub services: ::std::vec::Vec<ServiceWeightBody>,
    ///Fixed shares by version.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub split: ::std::vec::Vec<WeightBody>,
    ///Header whose value keeps a caller's calls on one version.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub sticky: ::std::option::Option<::std::string::String>,
    ///Time within which an answer is wanted, such as `300ms`; calls that can still make it go first.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub target: ::std::option::Option<::std::string::String>,
    ///Longest time for a call, retries included, such as `800ms`.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub timeout: ::std::option::Option<::std::string::String>,
}
impl ::std::convert::From<&RouteBody> for RouteBody {
    fn from(value: &RouteBody) -> Self {
        value.clone()
    }
}
impl ::std::default::Default for RouteBody {
    fn default() -> Self {
        Self {
            attempts: Default::default(),
            criticality: Default::default(),
            idempotence: Default::default(),
            match_: Default::default(),
            priority: Default::default(),
            proxies: Default::default(),
            service: Default::default(),
            services: Default::default(),
            split: Default::default(),
            sticky: Default::default(),
            target: Default::default(),
            timeout: Default::default(),
        }
    }
}
///A service.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "A service.",
///  "type": "object",
///  "properties": {
///    "labels": {
///      "$ref": "#/definitions/LabelMap"
///    },
///    "version": {
///      "description": "The version that takes the traffic.",
///      "type": "string"
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct ServiceBody {
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub labels: ::std::option::Option<LabelMap>,
    ///The version that takes the traffic.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub version: ::std::option::Option<::std::string::String>,
}
impl ::std::convert::From<&ServiceBody> for ServiceBody {
    fn from(value: &ServiceBody) -> Self {
        value.clone()
    }
}
impl ::std::default::Default for ServiceBody {
    fn default() -> Self {
        Self {
            labels: Default::default(),
            version: Default::default(),
        }
    }
}
///A service and its weight among those of a route.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "A service and its weight among those of a route.",
///  "type": "object",
///  "properties": {
///    "service": {
///      "description": "The service.",
///      "type": "string"
///    },
///    "weight": {
///      "description": "Its weight.",
///      "type": "integer",
///      "format": "uint32",
///      "minimum": 0.0
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct ServiceWeightBody {
    ///The service.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub service: ::std::option::Option<::std::string::String>,
    ///Its weight.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub weight: ::std::option::Option<u32>,
}
impl ::std::convert::From<&ServiceWeightBody> for ServiceWeightBody {
    fn from(value: &ServiceWeightBody) -> Self {
        value.clone()
    }
}
impl ::std::default::Default for ServiceWeightBody {
    fn default() -> Self {
        Self {
            service: Default::default(),
            weight: Default::default(),
        }
    }
}
///A record of kind `snapshot`: one part of the text of a state.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "A record of kind `snapshot`: one part of the text of a state.",
///  "type": "object",
///  "properties": {
///    "digest": {
///      "description": "BLAKE3 of the whole text, in hexadecimal.",
///      "type": "string"
///    },
///    "format": {
///      "description": "1.",
///      "type": "integer",
///      "format": "uint32",
///      "minimum": 0.0
///    },
///    "hash": {
///      "description": "Hash of the state, in hexadecimal.",
///      "type": "string"
///    },
///    "kind": {
///      "description": "`snapshot`.",
///      "type": "string"
///    },
///    "part": {
///      "description": "Number of this part, from 0.",
///      "type": "integer",
///      "format": "uint32",
///      "minimum": 0.0
///    },
///    "parts": {
///      "description": "How many parts the text has.",
///      "type": "integer",
///      "format": "uint32",
///      "minimum": 0.0
///    },
///    "seal": {
///      "description": "BLAKE3 of this record without its seal, in hexadecimal.",
///      "type": "string"
///    },
///    "text": {
///      "description": "This part of the text.",
///      "type": "string"
///    },
///    "version": {
///      "description": "How much of the log the state was folded from.",
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct SnapshotRecord {
    ///BLAKE3 of the whole text, in hexadecimal.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub digest: ::std::option::Option<::std::string::String>,
    ///1.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub format: ::std::option::Option<u32>,
    ///Hash of the state, in hexadecimal.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub hash: ::std::option::Option<::std::string::String>,
    ///`snapshot`.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub kind: ::std::option::Option<::std::string::String>,
    ///Number of this part, from 0.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub part: ::std::option::Option<u32>,
    ///How many parts the text has.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub parts: ::std::option::Option<u32>,
    ///BLAKE3 of this record without its seal, in hexadecimal.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub seal: ::std::option::Option<::std::string::String>,
    ///This part of the text.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub text: ::std::option::Option<::std::string::String>,
    ///How much of the log the state was folded from.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub version: ::std::option::Option<u64>,
}
impl ::std::convert::From<&SnapshotRecord> for SnapshotRecord {
    fn from(value: &SnapshotRecord) -> Self {
        value.clone()
    }
}
impl ::std::default::Default for SnapshotRecord {
    fn default() -> Self {
        Self {
            digest: Default::default(),
            format: Default::default(),
            hash: Default::default(),
            kind: Default::default(),
            part: Default::default(),
            parts: Default::default(),
            seal: Default::default(),
            text: Default::default(),
            version: Default::default(),
        }
    }
}
///The text of a snapshot: the whole state of a reader.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "The text of a snapshot: the whole state of a reader.",
///  "type": "object",
///  "properties": {
///    "accepted": {
///      "description": "Recent changes accepted, oldest first, each as `ID OFFSET PRINT`.",
///      "type": "array",
///      "items": {
///        "type": "string"
///      }
///    },
///    "format": {
///      "description": "1.",
///      "type": "integer",
///      "format": "uint32",
///      "minimum": 0.0
///    },
///    "hash": {
///      "description": "Hash of the state, in hexadecimal.",
///      "type": "string"
///    },
///    "held": {
///      "description": "Every declaration.",
///      "type": "array",
///      "items": {
///        "$ref": "#/definitions/HeldItem"
///      }
///    },
///    "refused": {
///      "description": "Recent changes refused, oldest first.",
///      "type": "array",
///      "items": {
///        "$ref": "#/definitions/RefusedItem"
///      }
///    },
///    "version": {
///      "description": "How much of the log it was folded from.",
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct StateSnapshot {
    ///Recent changes accepted, oldest first, each as `ID OFFSET PRINT`.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub accepted: ::std::vec::Vec<::std::string::String>,
    ///1.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub format: ::std::option::Option<u32>,
    ///Hash of the state, in hexadecimal.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub hash: ::std::option::Option<::std::string::String>,
    ///Every declaration.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub held: ::std::vec::Vec<HeldItem>,
    ///Recent changes refused, oldest first.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub refused: ::std::vec::Vec<RefusedItem>,
    ///How much of the log it was folded from.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub version: ::std::option::Option<u64>,
}
impl ::std::convert::From<&StateSnapshot> for StateSnapshot {
    fn from(value: &StateSnapshot) -> Self {
        value.clone()
    }
}
impl ::std::default::Default for StateSnapshot {
    fn default() -> Self {
        Self {
            accepted: Default::default(),
            format: Default::default(),
            hash: Default::default(),
            held: Default::default(),
            refused: Default::default(),
            version: Default::default(),
        }
    }
}
///A move's verdict in a snapshot.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "A move's verdict in a snapshot.",
///  "type": "object",
///  "properties": {
///    "at_ms": {
///      "description": "When it decided, in Unix milliseconds.",
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "by": {
///      "description": "The daemon that decided.",
///      "type": "string"
///    },
///    "reason": {
///      "description": "Why, in one sentence.",
///      "type": "string"
///    },
///    "verdict": {
///      "description": "`done` or `taken-back`.",
///      "type": "string"
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct VerdictItem {
    ///When it decided, in Unix milliseconds.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub at_ms: ::std::option::Option<u64>,
    ///The daemon that decided.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub by: ::std::option::Option<::std::string::String>,
    ///Why, in one sentence.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub reason: ::std::option::Option<::std::string::String>,
    ///`done` or `taken-back`.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub verdict: ::std::option::Option<::std::string::String>,
}
impl ::std::convert::From<&VerdictItem> for VerdictItem {
    fn from(value: &VerdictItem) -> Self {
        value.clone()
    }
}
impl ::std::default::Default for VerdictItem {
    fn default() -> Self {
        Self {
            at_ms: Default::default(),
            by: Default::default(),
            reason: Default::default(),
            verdict: Default::default(),
        }
    }
}
///A record of kind `verdict`.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "A record of kind `verdict`.",
///  "type": "object",
///  "properties": {
///    "at_ms": {
///      "description": "When it decided, in Unix milliseconds.",
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "by": {
///      "description": "The daemon that decided.",
///      "type": "string"
///    },
///    "declared": {
///      "description": "Offset of the record that declared it.",
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "format": {
///      "description": "1.",
///      "type": "integer",
///      "format": "uint32",
///      "minimum": 0.0
///    },
///    "kind": {
///      "description": "`verdict`.",
///      "type": "string"
///    },
///    "move": {
///      "description": "Name of the move.",
///      "type": "string"
///    },
///    "reason": {
///      "description": "Why, in one sentence.",
///      "type": "string"
///    },
///    "verdict": {
///      "description": "`done` or `taken-back`.",
///      "type": "string"
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct VerdictRecord {
    ///When it decided, in Unix milliseconds.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub at_ms: ::std::option::Option<u64>,
    ///The daemon that decided.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub by: ::std::option::Option<::std::string::String>,
    ///Offset of the record that declared it.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub declared: ::std::option::Option<u64>,
    ///1.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub format: ::std::option::Option<u32>,
    ///`verdict`.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub kind: ::std::option::Option<::std::string::String>,
    ///Name of the move.
    #[serde(
        rename = "move",
        default,
        skip_serializing_if = "::std::option::Option::is_none"
    )]
    pub move_: ::std::option::Option<::std::string::String>,
    ///Why, in one sentence.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub reason: ::std::option::Option<::std::string::String>,
    ///`done` or `taken-back`.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub verdict: ::std::option::Option<::std::string::String>,
}
impl ::std::convert::From<&VerdictRecord> for VerdictRecord {
    fn from(value: &VerdictRecord) -> Self {
        value.clone()
    }
}
impl ::std::default::Default for VerdictRecord {
    fn default() -> Self {
        Self {
            at_ms: Default::default(),
            by: Default::default(),
            declared: Default::default(),
            format: Default::default(),
            kind: Default::default(),
            move_: Default::default(),
            reason: Default::default(),
            verdict: Default::default(),
        }
    }
}
///A version of a service's backend servers.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "A version of a service's backend servers.",
///  "type": "object",
///  "properties": {
///    "labels": {
///      "$ref": "#/definitions/LabelMap"
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct VersionBody {
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub labels: ::std::option::Option<LabelMap>,
}
impl ::std::convert::From<&VersionBody> for VersionBody {
    fn from(value: &VersionBody) -> Self {
        value.clone()
    }
}
impl ::std::default::Default for VersionBody {
    fn default() -> Self {
        Self { labels: Default::default() }
    }
}
///A version and its weight in a split.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "A version and its weight in a split.",
///  "type": "object",
///  "properties": {
///    "version": {
///      "description": "The version.",
///      "type": "string"
///    },
///    "weight": {
///      "description": "Its weight.",
///      "type": "integer",
///      "format": "uint32",
///      "minimum": 0.0
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug)]
#[serde(deny_unknown_fields)]
pub struct WeightBody {
    ///The version.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub version: ::std::option::Option<::std::string::String>,
    ///Its weight.
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub weight: ::std::option::Option<u32>,
}
impl ::std::convert::From<&WeightBody> for WeightBody {
    fn from(value: &WeightBody) -> Self {
        value.clone()
    }
}
impl ::std::default::Default for WeightBody {
    fn default() -> Self {
        Self {
            version: Default::default(),
            weight: Default::default(),
        }
    }
}
