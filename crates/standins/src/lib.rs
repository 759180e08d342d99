//! Stand-ins for the log service, a backend server and a caller.
