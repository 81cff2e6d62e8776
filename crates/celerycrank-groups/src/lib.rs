//! Expert maps of lock-step groups: the switch protocol and the placement policy.
