//! The counting relay.

use standin::{
    fixture::ANY,
    relay::{self, Bytes},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

#[tokio::test]
async fn bytes_go_through_and_are_counted_each_way() {
    let far = TcpListener::bind(ANY).await.unwrap();
    let relay = relay::bind(ANY, far.local_addr().unwrap()).await.unwrap();
    let mut near = TcpStream::connect(relay.address).await.unwrap();
    let (mut far, _) = far.accept().await.unwrap();
    let (mut asked, mut answered) = ([0; 3], [0; 5]);

    near.write_all(b"ask").await.unwrap();
    far.read_exact(&mut asked).await.unwrap();
    far.write_all(b"reply").await.unwrap();
    near.read_exact(&mut answered).await.unwrap();

    assert_eq!((&asked, &answered), (b"ask", b"reply"));
    assert_eq!(relay.bytes(), Bytes { sent: 3, answered: 5 });
}

#[tokio::test]
async fn dropping_the_relay_cuts_its_connections() {
    let far = TcpListener::bind(ANY).await.unwrap();
    let relay = relay::bind(ANY, far.local_addr().unwrap()).await.unwrap();
    let mut near = TcpStream::connect(relay.address).await.unwrap();
    let (_far, _) = far.accept().await.unwrap();

    drop(relay);
    let read = near.read(&mut [0]).await;

    assert!(matches!(read, Ok(0) | Err(_)), "{read:?}");
}
