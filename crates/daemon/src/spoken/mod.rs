//! What is spoken on the wire: each message is decoded once into a small typed value, or encoded once.

pub mod client;
pub mod datagrams;
pub mod discovery;
pub mod listener;
pub mod news;
pub mod orders;
pub mod page;
pub mod reports;
pub mod resp;
pub mod services;
