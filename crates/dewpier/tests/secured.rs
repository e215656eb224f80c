//! Planners and forwarders with TLS certificates: strangers and certificates of the wrong role are rejected.

use dewpier_plan::io::{CertificateFiles, Planner, Role, Security};
use dewpier_plan::{Node, Plan, Version};
use dewpier_standins::backend::Backend;
use dewpier_standins::{WAIT_TIMEOUT, reserve_addresses, wait_for};
use dewpier_trials::process::*;
use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// A certificate authority and the certificates that it has signed, in a folder.
struct Authority {
    folder: PathBuf,
    issuer: Issuer<'static, KeyPair>,
}

impl Authority {
    fn new(name: &str) -> Self {
        let folder = create_test_folder(name);
        let key = KeyPair::generate().unwrap();
        let mut params = CertificateParams::new(Vec::new()).unwrap();
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        std::fs::write(folder.join("authority.pem"), params.self_signed(&key).unwrap().pem()).unwrap();
        let authority = Self { folder, issuer: Issuer::new(params, key) };
        authority.sign("planner", Role::Planner);
        authority.sign("forwarder", Role::Forwarder);
        authority
    }

    /// Signs a new certificate for a role.
    fn sign(&self, file: &str, role: Role) {
        let key = KeyPair::generate().unwrap();
        let params = CertificateParams::new(vec![role.name().to_string()]).unwrap();
        let certificate = params.signed_by(&key, &self.issuer).unwrap();
        std::fs::write(self.folder.join(format!("{file}.pem")), certificate.pem()).unwrap();
        std::fs::write(self.folder.join(format!("{file}.key")), key.serialize_pem()).unwrap();
    }

    fn files(&self, name: &str) -> CertificateFiles {
        let file = |file_name: &str| self.folder.join(file_name);
        CertificateFiles {
            authority: file("authority.pem"),
            certificate: file(&format!("{name}.pem")),
            key: file(&format!("{name}.key")),
        }
    }

    fn settings(&self, table: &str, name: &str) -> String {
        let CertificateFiles { authority, certificate, key } = self.files(name);
        format!(
            "[{table}]\nauthority = \"{}\"\ncertificate = \"{}\"\nkey = \"{}\"\n",
            authority.display(),
            certificate.display(),
            key.display()
        )
    }
}

fn start_planner(
    number: usize,
    cluster: &[SocketAddr],
    authority: &Authority,
    file: &Path,
) -> DewpierProcess {
    let cluster: Vec<String> = cluster.iter().map(|a| format!("\"{a}\"")).collect();
    let settings = format!(
        "number = {number}\n[cluster]\nplanners = [{}]\n{}",
        cluster.join(", "),
        authority.settings("tls", "planner")
    );
    DewpierProcess::start_planner_with("127.0.0.1:0", file, &settings)
}

/// Connects with these certificates, sends a message and returns the bytes of the answer.
fn exchange(address: SocketAddr, files: CertificateFiles, message: &'static [u8]) -> Vec<u8> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        use tokio::io::{AsyncReadExt, AsyncWriteExt};
        let stream = tokio::net::TcpStream::connect(address).await.unwrap();
        let mut answer = Vec::new();
        if let Ok(mut stream) = Security::read(files).unwrap().connect(stream, Role::Planner).await {
            let _ = stream.write_all(message).await;
            let _ = stream.flush().await;
            let _ = tokio::time::timeout(WAIT_TIMEOUT, stream.read_to_end(&mut answer)).await.unwrap();
        }
        answer
    })
}

#[test]
fn planners_and_forwarders_of_one_authority_cooperate_and_strangers_are_rejected() {
    let backends: Vec<Backend> =
        (0..4).map(|i| Backend::start(&format!("b{i}"), Duration::from_micros(200))).collect();
    let file = create_test_folder("secured").join("nodes.csv");
    let good = inventory_csv(&backends);
    std::fs::write(&file, &good).unwrap();
    let (ours, theirs) = (Authority::new("ours"), Authority::new("theirs"));
    let cluster = reserve_addresses(3);
    let planners: Vec<DewpierProcess> = (0..3).map(|n| start_planner(n, &cluster, &ours, &file)).collect();
    let addresses: Vec<SocketAddr> = planners.iter().map(|p| p.address).collect();
    let settings = ours.settings("planners.tls", "forwarder");
    let forwarder = DewpierProcess::start_forwarder_with("f0", &addresses, &settings);
    let send_request = |n: usize| {
        let mut stream = TcpStream::connect(forwarder.address).unwrap();
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        write!(stream, "GET /{n} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n").unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).unwrap();
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    };
    (0..20).for_each(send_request);

    // Rejected: plaintext, certificates of another authority, and certificates of the wrong role.
    let lines = planners[0].log_line_count();
    let mut plain = TcpStream::connect(addresses[0]).unwrap();
    plain.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    plain.write_all(b"\x06\x00\x00\x00\x08\x01\x12\x02\x0a\x00").unwrap();
    let mut answer = Vec::new();
    let _ = plain.read_to_end(&mut answer);
    assert!(answer.len() < 64, "expected at most a TLS alert: {answer:?}");
    planners[0].wait_for_log(lines, "a follower is refused");
    for (files, address, words) in [
        (theirs.files("forwarder"), addresses[1], "a follower is refused"),
        (ours.files("planner"), addresses[1], "a follower is refused"),
        (ours.files("forwarder"), cluster[1], "a planner is refused"),
        (theirs.files("planner"), cluster[1], "a planner is refused"),
    ] {
        let lines = planners[1].log_line_count();
        // The stranger trusts the planner's authority, so that only the planner rejects the connection.
        let files = CertificateFiles { authority: ours.files("planner").authority, ..files };
        assert_eq!(exchange(address, files, b"\x06\x00\x00\x00\x08\x01\x12\x02\x0a\x00"), b"");
        planners[1].wait_for_log(lines, words);
    }

    // Drains are still sent after the certificates are replaced.
    ours.sign("planner", Role::Planner);
    ours.sign("forwarder", Role::Forwarder);
    planners.iter().for_each(|p| p.send_signal("-HUP"));
    forwarder.send_signal("-HUP");
    let lines = forwarder.log_line_count();
    replace_file(&file, good.replacen("serving", "draining", 1).as_bytes());
    forwarder.wait_for_log(lines, "3 of them serving");
    (20..40).for_each(send_request);
    planners.into_iter().for_each(DewpierProcess::terminate);
    forwarder.terminate();
}

#[test]
fn forwarder_does_not_follow_a_planner_with_an_invalid_certificate() {
    let (ours, theirs) = (Authority::new("mine"), Authority::new("false"));
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build().unwrap();
    let node = Node {
        id: "lure".into(),
        address: "127.0.0.1:9".parse().unwrap(),
        zone: String::new(),
        cell: 0,
        weight: 1.0,
        draining: false,
        age_ms: None,
    };
    let version = Version { term: 1, generation: 1 };
    let plan = Plan { version, nodes: vec![node], acknowledged: Vec::new() };
    let mut addresses = Vec::new();
    for files in [theirs.files("planner"), ours.files("forwarder"), ours.files("planner")] {
        let planner = Planner::new(Box::new(|| Duration::from_millis(400)), Duration::from_millis(400), 10);
        planner.publish(plan.clone());
        let listener = runtime.block_on(tokio::net::TcpListener::bind("127.0.0.1:0")).unwrap();
        addresses.push(listener.local_addr().unwrap());
        runtime.spawn(planner.serve(listener, Security::read(files).unwrap()));
    }
    // The forwarder gets no list from the two false planners, and a list from the true one.
    let settings = ours.settings("planners.tls", "forwarder");
    let config = create_test_folder("lured").join("f.toml");
    let text = |addresses: &[SocketAddr]| {
        let quoted: Vec<String> = addresses.iter().map(|a| format!("\"{a}\"")).collect();
        let quoted = quoted.join(", ");
        format!("listen = \"127.0.0.1:0\"\n[planners]\nname = \"f\"\naddresses = [{quoted}]\n{settings}")
    };
    std::fs::write(&config, text(&addresses[..2])).unwrap();
    let mut forwarder = std::process::Command::new(env!("CARGO_BIN_EXE_dewpier"))
        .args(["forwarder", "--config"])
        .arg(&config)
        .stderr(std::process::Stdio::piped())
        .spawn()
        .unwrap();
    let mut log = forwarder.stderr.take().unwrap();
    let (log_sender, log_text) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let mut text = String::new();
        let _ = log.read_to_string(&mut text);
        let _ = log_sender.send(text);
    });
    std::thread::sleep(Duration::from_secs(2));
    forwarder.kill().unwrap();
    forwarder.wait().unwrap();
    let text = log_text.recv_timeout(WAIT_TIMEOUT).unwrap();
    assert!(!text.contains("backends from"), "{text}");
    assert!(addresses[..2].iter().all(|a| text.contains(&format!("planner {a}: "))), "{text}");
    let following = DewpierProcess::start_forwarder_with("f1", &addresses, &settings);
    wait_for("list of the true planner", || {
        following.log_lines().iter().any(|l| l.contains("1 backends from"))
    });
    following.terminate();
}

#[test]
fn unusable_certificate_files_are_reported_with_their_names() {
    let ours = Authority::new("broken");
    std::fs::write(ours.folder.join("empty.pem"), "").unwrap();
    let good = ours.files("planner");
    let empty = ours.folder.join("empty.pem");
    for (files, words) in [
        (
            CertificateFiles { authority: "/none/such.pem".into(), ..good.clone() },
            "/none/such.pem: expected certificates",
        ),
        (
            CertificateFiles { certificate: empty.clone(), ..good.clone() },
            "empty.pem: expected certificates in PEM form",
        ),
        (CertificateFiles { key: empty, ..good.clone() }, "empty.pem: expected a private key in PEM form"),
        (
            CertificateFiles { key: ours.files("forwarder").key, ..good.clone() },
            "planner.pem: cannot be used: ",
        ),
    ] {
        let message = Security::read(files).unwrap_err().to_string();
        assert!(message.contains(words), "{words}: {message}");
    }
    assert!(Security::read(good).is_ok());
}
