//! Stand-in of the platform's metadata store: rows in tables, read whole or as a feed of changes.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Message, Reader};
use crate::json::{base64, Json};

#[derive(Clone, Debug)]
struct Row {
    /// Base64; `None` once the row is removed.
    value: Option<String>,
    ver: u64,
}

#[derive(Debug, Default)]
struct Tables {
    rows: BTreeMap<(String, String), Row>,
    ver: u64,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    tables: Arc<(Mutex<Tables>, Condvar)>,
    started: Instant,
}

impl Store {
    pub fn start(address: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let store = Store {
            address: listener.local_addr()?,
            tables: Arc::default(),
            started: Instant::now(),
        };
        let accepting = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = accepting.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes a row; returning is its acknowledgement.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        self.change(table, key, Some(base64(value.as_bytes())));
    }

    /// Removes a row.
    pub fn remove(&self, table: &str, key: &str) {
        self.change(table, key, None);
    }

    /// Keys of the rows of a table.
    pub fn keys(&self, table: &str) -> Vec<String> {
        let tables = self.tables.0.lock().unwrap();
        let rows = tables.rows.iter();
        rows.filter(|((known, _), row)| known == table && row.value.is_some())
            .map(|((_, key), _)| key.clone())
            .collect()
    }

    fn change(&self, table: &str, key: &str, value: Option<String>) {
        let (tables, changed) = &*self.tables;
        let mut tables = tables.lock().unwrap();
        tables.ver += 1;
        let ver = tables.ver;
        let key = (table.to_owned(), key.to_owned());
        tables.rows.insert(key, Row { value, ver });
        changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = Reader::new(stream);
        while let Ok(request) = reader.message() {
            thread::sleep(Duration::from_millis(4));
            let (status, body) = self.respond(&request);
            let head = format!(
                "HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if writer
                .write_all(format!("{head}{body}").as_bytes())
                .is_err()
            {
                return;
            }
        }
    }

    fn respond(&self, request: &Message) -> (u16, String) {
        let (path, query) = request
            .target()
            .split_once('?')
            .unwrap_or((request.target(), ""));
        let query = parse_query(query);
        let field = |name: &str| query.get(name).cloned().unwrap_or_default();
        match (request.method(), path) {
            ("GET", "/rows-get") => {
                let tables = self.tables.0.lock().unwrap();
                let until = field("target_version");
                let rows = tables.rows.iter().filter(|((table, key), row)| {
                    *table == field("table")
                        && row.value.is_some()
                        && *key >= field("from")
                        && (until.is_empty() || *key < until)
                });
                let rows: Vec<String> = rows.map(row_text).collect();
                (200, self.answer(&rows, tables.ver, ",\"more\":false"))
            }
            ("GET", "/rows-feed") => {
                let after: u64 = field("after_revision").parse().unwrap_or(0);
                let wait = Duration::from_millis(field("wait_ms").parse().unwrap_or(0));
                let end = Instant::now() + wait;
                let (tables, changed) = &*self.tables;
                let mut tables = tables.lock().unwrap();
                loop {
                    let rows = tables
                        .rows
                        .iter()
                        .filter(|((table, _), row)| *table == field("table") && row.ver > after);
                    let mut rows: Vec<_> = rows.collect();
                    let left = end.saturating_duration_since(Instant::now());
                    if !rows.is_empty() || left.is_zero() {
                        rows.sort_by_key(|(_, row)| row.ver);
                        let rows: Vec<String> = rows.into_iter().map(row_text).collect();
                        return (200, self.answer(&rows, tables.ver, ""));
                    }
                    tables = changed.wait_timeout(tables, left).unwrap().0;
                }
            }
            ("POST", "/rows-tx") => self.transaction(&request.body),
            _ => (404, "{}".to_owned()),
        }
    }

    fn transaction(&self, body: &[u8]) -> (u16, String) {
        let Some(request) = Json::parse(&String::from_utf8_lossy(body)) else {
            return (400, "{}".to_owned());
        };
        let key = |entry: &Json| (entry.text("table"), entry.text("key"));
        let (tables, changed) = &*self.tables;
        let mut tables = tables.lock().unwrap();
        let expected = request.list("expected_revision");
        let holds = expected.iter().all(|entry| {
            let known = tables.rows.get(&key(entry));
            known.map_or(0, |row| row.value.as_ref().map_or(0, |_| row.ver)) == entry.number("ver")
        });
        if !holds {
            let rows = expected.iter().map(&key).collect::<Vec<_>>();
            let rows = tables
                .rows
                .iter()
                .filter(|(known, row)| rows.contains(known) && row.value.is_some());
            let rows: Vec<String> = rows.map(row_text).collect();
            return (412, self.answer(&rows, tables.ver, ""));
        }
        tables.ver += 1;
        let ver = tables.ver;
        for entry in request.list("put") {
            let value = Some(entry.text("value"));
            tables.rows.insert(key(entry), Row { value, ver });
        }
        for entry in request.list("remove") {
            tables.rows.insert(key(entry), Row { value: None, ver });
        }
        changed.notify_all();
        (200, self.answer(&[], ver, ""))
    }

    fn answer(&self, rows: &[String], ver: u64, more: &str) -> String {
        let now_ms = self.started.elapsed().as_millis() + 1000;
        let rows = rows.join(",");
        format!("{{\"rows\":[{rows}],\"ver\":{ver},\"now_ms\":{now_ms}{more}}}")
    }
}

fn row_text(((table, key), row): (&(String, String), &Row)) -> String {
    let value = match &row.value {
        Some(value) => format!("\"value\":\"{value}\""),
        None => "\"gone\":true".to_owned(),
    };
    let ver = row.ver;
    format!("{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",{value},\"ver\":{ver}}}")
}

fn parse_query(query: &str) -> BTreeMap<String, String> {
    let fields = query.split('&').filter_map(|field| field.split_once('='));
    fields
        .map(|(name, value)| (name.to_owned(), percent_decoded(value)))
        .collect()
}

fn percent_decoded(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, after)) = rest.split_first() {
        let escaped = after.get(..2).filter(|_| *first == b'%');
        let code = escaped.and_then(|code| std::str::from_utf8(code).ok());
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            Some(byte) => {
                bytes.push(byte);
                rest = &after[2..];
            }
            None => {
                bytes.push(*first);
                rest = after;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
