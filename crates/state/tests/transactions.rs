//! Tests of the limits of transactions.

use figrill_state::kv::{Txn, TxnBuilder, TxnError};

#[test]
fn a_transaction_cannot_be_built_beyond_the_entries_that_the_store_accepts() {
    let mut builder = TxnBuilder::with_reserved(1);
    builder.condition("c", 1).expect("room");
    for i in 0..28 {
        builder.put(format!("p{i}"), Vec::new()).expect("room");
    }
    let keys = ["a".to_owned(), "b".to_owned(), "c".to_owned()];
    assert_eq!(builder.remove(keys), Err(TxnError::Full));
    builder
        .remove(["a".to_owned(), "b".to_owned()])
        .expect("room");
    assert_eq!(builder.condition("d", 1), Err(TxnError::Full));
    assert_eq!(builder.put("q", Vec::new()), Err(TxnError::Full));
    let mut txn = builder.build();
    assert_eq!(txn.entries(), Txn::MAX_ENTRIES - 1);
    assert_eq!(txn.check(), Ok(()));
    txn.removes.push("e".to_owned());
    assert_eq!(txn.check(), Ok(()));
    txn.removes.push("f".to_owned());
    assert_eq!(txn.check(), Err(TxnError::Full));
}

#[test]
fn a_transaction_cannot_be_built_beyond_the_bytes_that_the_store_accepts() {
    let value = |bytes: usize| vec![0; bytes];
    let mut builder = TxnBuilder::default();
    let too_large = builder.put("a", value(Txn::MAX_VALUE_BYTES + 1));
    let expected = TxnError::ValueTooLarge {
        key: "a".to_owned(),
        bytes: Txn::MAX_VALUE_BYTES + 1,
    };
    assert_eq!(too_large, Err(expected));
    for key in ["a", "b"] {
        let put = builder.put(key, value(Txn::MAX_VALUE_BYTES));
        assert_eq!(put, Ok(()), "{key}");
    }
    assert_eq!(builder.put("c", value(1)), Err(TxnError::Full));
    let mut txn = builder.build();
    assert_eq!(txn.check(), Ok(()));
    txn.puts.push(("c".to_owned(), value(1), None));
    assert_eq!(txn.check(), Err(TxnError::Full));
}
