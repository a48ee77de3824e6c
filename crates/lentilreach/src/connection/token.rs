//! Tokens in connection IDs, which identify the agent of an established flow.
//!
//! A token has 20 bytes, the maximum length of a QUIC connection ID: key identifier (1), check
//! value (3) and one AES-128 block (16) with the fields. The block cipher hides the fields
//! from callers and makes the connection IDs of one connection unlinkable.

use std::net::{Ipv4Addr, SocketAddrV4};

use aes::Aes128;
use aes::cipher::{BlockDecrypt, BlockEncrypt, KeyInit};

use crate::id::{domain, service};

/// Length of an encoded token in bytes.
pub const LENGTH: usize = 20;

/// The fields of a token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Token {
    /// The service that the flow belongs to.
    pub service: service::Id,
    /// The failure domain of the backend server.
    pub domain: domain::Id,
    /// The envelope address of the agent.
    pub agent: SocketAddrV4,
    /// The incarnation of the agent.
    pub incarnation: u16,
    /// Makes the connection IDs of one agent distinct. Only the low 24 bits are used.
    pub nonce: u32,
}

impl Token {
    /// Encodes the fields as a cipher block.
    fn pack(&self) -> [u8; 16] {
        let mut block = [0; 16];
        block[0..4].copy_from_slice(&self.service.0.to_be_bytes());
        block[4] = self.domain.0;
        block[5..9].copy_from_slice(&self.agent.ip().octets());
        block[9..11].copy_from_slice(&self.agent.port().to_be_bytes());
        block[11..13].copy_from_slice(&self.incarnation.to_be_bytes());
        block[13..16].copy_from_slice(&self.nonce.to_be_bytes()[1..]);
        block
    }

    /// Decodes the fields of a cipher block.
    fn unpack(b: &[u8; 16]) -> Self {
        Self {
            service: service::Id(u32::from_be_bytes([b[0], b[1], b[2], b[3]])),
            domain: domain::Id(b[4]),
            agent: SocketAddrV4::new(
                Ipv4Addr::new(b[5], b[6], b[7], b[8]),
                u16::from_be_bytes([b[9], b[10]]),
            ),
            incarnation: u16::from_be_bytes([b[11], b[12]]),
            nonce: u32::from_be_bytes([0, b[13], b[14], b[15]]),
        }
    }
}

/// Why a connection ID is not a valid token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Not [`LENGTH`] bytes.
    Length,
    /// No key with this identifier.
    UnknownKey,
    /// The check value does not match: the token is forged or damaged, or the caller chose the
    /// connection ID.
    Check,
}

/// A token key.
#[derive(Clone)]
pub struct Key {
    /// Identifies the key in tokens.
    pub id: u8,
    /// Encrypts the fields.
    fields: Aes128,
    /// Computes the check value.
    check: Aes128,
}

impl Key {
    /// Creates the two ciphers from 32 secret bytes.
    pub fn new(id: u8, secret: &[u8; 32]) -> Self {
        let (fields, check) = secret.split_at(16);
        Self { id, fields: Aes128::new(fields.into()), check: Aes128::new(check.into()) }
    }

    /// The check value of an encrypted block.
    fn checksum(&self, block: &[u8; 16]) -> [u8; 3] {
        let mut sum = (*block).into();
        self.check.encrypt_block(&mut sum);
        [sum[0], sum[1], sum[2]]
    }
}

impl std::fmt::Debug for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Key").field("id", &self.id).finish_non_exhaustive()
    }
}

/// The valid token keys.
#[derive(Debug, Clone, Default)]
pub struct Keys {
    /// Sorted by identifier, without duplicates.
    keys: Vec<Key>,
    /// The identifier of the key for new tokens; one of `keys` unless it is empty.
    current: u8,
}

impl Keys {
    /// Creates a key ring in which `current` is used for new tokens.
    pub fn new(mut keys: Vec<Key>, current: u8) -> Self {
        keys.sort_by_key(|key| key.id);
        keys.dedup_by_key(|key| key.id);
        Self { keys, current }
    }

    /// Encodes a token with the current key; `None` without keys.
    pub fn encode(&self, token: &Token) -> Option<[u8; LENGTH]> {
        let key = self.find(self.current)?;
        let mut block = token.pack().into();
        key.fields.encrypt_block(&mut block);
        let block: [u8; 16] = block.into();
        let mut id = [0; LENGTH];
        id[0] = key.id;
        id[1..4].copy_from_slice(&key.checksum(&block));
        id[4..].copy_from_slice(&block);
        Some(id)
    }

    /// Decodes a connection ID.
    ///
    /// # Errors
    /// If it is not a token made with one of the keys.
    pub fn decode(&self, id: &[u8]) -> Result<Token, Fault> {
        let id: &[u8; LENGTH] = id.try_into().map_err(|_| Fault::Length)?;
        let key = self.find(id[0]).ok_or(Fault::UnknownKey)?;
        let mut block = [0; 16];
        block.copy_from_slice(&id[4..]);
        if key.checksum(&block) != id[1..4] {
            return Err(Fault::Check);
        }
        let mut block = block.into();
        key.fields.decrypt_block(&mut block);
        Ok(Token::unpack(&block.into()))
    }

    /// Finds a key by its identifier.
    fn find(&self, id: u8) -> Option<&Key> {
        self.keys.binary_search_by_key(&id, |key| key.id).ok().map(|i| &self.keys[i])
    }
}
