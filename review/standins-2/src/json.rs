//! As much of JSON and base64 as the store's calls need.

use std::collections::BTreeMap;

/// A JSON value; numbers keep their text.
#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    /// `null`, `true` or `false`.
    Word(String),
    /// A number.
    Number(String),
    /// A string.
    Text(String),
    /// A list.
    List(Vec<Json>),
    /// An object.
    Object(BTreeMap<String, Json>),
}

impl Json {
    /// Parses a value; `None` if it is malformed.
    pub fn parse(text: &str) -> Option<Self> {
        Parser {
            rest: text.trim_start(),
        }
        .value()
    }

    /// Returns the value of a key.
    pub fn get(&self, key: &str) -> Option<&Self> {
        match self {
            Self::Object(fields) => fields.get(key),
            _ => None,
        }
    }

    /// Returns the items of a list; none for anything else.
    pub fn items(&self) -> &[Self] {
        match self {
            Self::List(items) => items,
            _ => &[],
        }
    }

    /// Returns the text of a string.
    pub fn text(&self) -> &str {
        match self {
            Self::Text(text) => text,
            _ => "",
        }
    }

    /// Returns a number.
    pub fn number(&self) -> u64 {
        match self {
            Self::Number(text) => text.parse().unwrap_or_default(),
            _ => 0,
        }
    }
}

struct Parser<'text> {
    rest: &'text str,
}

impl Parser<'_> {
    fn eat(&mut self, token: char) -> Option<()> {
        self.rest = self.rest.trim_start().strip_prefix(token)?.trim_start();
        Some(())
    }

    fn value(&mut self) -> Option<Json> {
        match self.rest.trim_start().chars().next()? {
            '{' => {
                self.eat('{')?;
                let mut fields = BTreeMap::new();
                while self.eat('}').is_none() {
                    let _ = self.eat(',');
                    let key = self.string()?;
                    self.eat(':')?;
                    fields.insert(key, self.value()?);
                }
                Some(Json::Object(fields))
            }
            '[' => {
                self.eat('[')?;
                let mut items = Vec::new();
                while self.eat(']').is_none() {
                    let _ = self.eat(',');
                    items.push(self.value()?);
                }
                Some(Json::List(items))
            }
            '"' => self.string().map(Json::Text),
            _ => {
                let end = self.rest.find([',', '}', ']', ' ', '\n']);
                let (word, rest) = self.rest.split_at(end.unwrap_or(self.rest.len()));
                self.rest = rest;
                let is_word = matches!(word, "null" | "true" | "false");
                let word = word.to_owned();
                Some(if is_word {
                    Json::Word(word)
                } else {
                    Json::Number(word)
                })
            }
        }
    }

    /// Strings of these calls hold no escapes but for quotes and backslashes.
    fn string(&mut self) -> Option<String> {
        self.rest = self.rest.trim_start().strip_prefix('"')?;
        let mut text = String::new();
        let mut chars = self.rest.char_indices();
        while let Some((at, char)) = chars.next() {
            match char {
                '"' => {
                    self.rest = &self.rest[at + 1..];
                    return Some(text);
                }
                '\\' => text.push(chars.next()?.1),
                char => text.push(char),
            }
        }
        None
    }
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Encodes bytes as base64 with padding.
pub fn encode_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut word = [0_u8; 3];
        word[..chunk.len()].copy_from_slice(chunk);
        let number = u32::from_be_bytes([0, word[0], word[1], word[2]]);
        for place in 0..4 {
            if place <= chunk.len() {
                let digit = (number >> (18 - 6 * place)) & 63;
                text.push(char::from(DIGITS[digit as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

/// Decodes base64; what is no digit is skipped.
pub fn decode_base64(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let (mut bits, mut count) = (0_u32, 0);
    for byte in text.bytes() {
        let Some(digit) = DIGITS.iter().position(|it| *it == byte) else {
            continue;
        };
        bits = (bits << 6) | digit as u32;
        count += 6;
        if count >= 8 {
            count -= 8;
            bytes.push((bits >> count) as u8);
        }
    }
    bytes
}
