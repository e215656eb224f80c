//! Planners and forwarders that show each other certificates, and strangers who can't move traffic.

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

/// An authority and the certificates that it has signed, in a folder.
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

    /// Signs a new certificate for that part.
    fn sign(&self, file: &str, part: Role) {
        let key = KeyPair::generate().unwrap();
        let params = CertificateParams::new(vec![part.name().to_string()]).unwrap();
        let certificate = params.signed_by(&key, &self.issuer).unwrap();
        std::fs::write(self.folder.join(format!("{file}.pem")), certificate.pem()).unwrap();
        std::fs::write(self.folder.join(format!("{file}.key")), key.serialize_pem()).unwrap();
    }

    fn files(&self, part: &str) -> CertificateFiles {
        let file = |name: &str| self.folder.join(name);
        CertificateFiles {
            authority: file("authority.pem"),
            certificate: file(&format!("{part}.pem")),
            key: file(&format!("{part}.key")),
        }
    }

    fn settings(&self, table: &str, part: &str) -> String {
        let CertificateFiles { authority, certificate, key } = self.files(part);
        format!(
            "[{table}]\nauthority = \"{}\"\ncertificate = \"{}\"\nkey = \"{}\"\n",
            authority.display(),
            certificate.display(),
            key.display()
        )
    }
}

fn planner(number: usize, talk: &[SocketAddr], authority: &Authority, file: &Path) -> DewpierProcess {
    let talk: Vec<String> = talk.iter().map(|a| format!("\"{a}\"")).collect();
    let settings = format!(
        "number = {number}\n[cluster]\nplanners = [{}]\n{}",
        talk.join(", "),
        authority.settings("tls", "planner")
    );
    DewpierProcess::start_planner_with("127.0.0.1:0", file, &settings)
}

/// Connects as one with these files, and tells what the other side has to say.
fn heard(address: SocketAddr, files: CertificateFiles, says: &'static [u8]) -> Vec<u8> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        use tokio::io::{AsyncReadExt, AsyncWriteExt};
        let stream = tokio::net::TcpStream::connect(address).await.unwrap();
        let mut answer = Vec::new();
        if let Ok(mut stream) = Security::read(files).unwrap().connect(stream, Role::Planner).await {
            let _ = stream.write_all(says).await;
            let _ = stream.flush().await;
            let _ = tokio::time::timeout(WAIT_TIMEOUT, stream.read_to_end(&mut answer)).await.unwrap();
        }
        answer
    })
}

#[test]
fn planners_and_forwarders_of_one_authority_work_together_and_strangers_are_refused() {
    let backends: Vec<Backend> =
        (0..4).map(|i| Backend::start(&format!("b{i}"), Duration::from_micros(200))).collect();
    let file = create_test_folder("secured").join("nodes.csv");
    let good = inventory_csv(&backends);
    std::fs::write(&file, &good).unwrap();
    let (ours, theirs) = (Authority::new("ours"), Authority::new("theirs"));
    let talk = reserve_addresses(3);
    let planners: Vec<DewpierProcess> = (0..3).map(|n| planner(n, &talk, &ours, &file)).collect();
    let addresses: Vec<SocketAddr> = planners.iter().map(|p| p.address).collect();
    let settings = ours.settings("planners.tls", "forwarder");
    let forwarder = DewpierProcess::start_forwarder_with("f0", &addresses, &settings);
    let ask = |n: usize| {
        let mut stream = TcpStream::connect(forwarder.address).unwrap();
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        write!(stream, "GET /{n} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n").unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).unwrap();
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    };
    (0..20).for_each(ask);

    // Strangers: who speaks plainly, whose certificate another authority has signed, and who has one of
    // ours for another part.
    let lines = planners[0].log_line_count();
    let mut plain = TcpStream::connect(addresses[0]).unwrap();
    plain.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    plain.write_all(b"\x06\x00\x00\x00\x08\x01\x12\x02\x0a\x00").unwrap();
    let mut answer = Vec::new();
    let _ = plain.read_to_end(&mut answer);
    assert!(answer.len() < 64, "an alert at most: {answer:?}");
    planners[0].wait_for_log(lines, "a follower is refused");
    for (files, address, words) in [
        (theirs.files("forwarder"), addresses[1], "a follower is refused"),
        (ours.files("planner"), addresses[1], "a follower is refused"),
        (ours.files("forwarder"), talk[1], "a planner is refused"),
        (theirs.files("planner"), talk[1], "a planner is refused"),
    ] {
        let lines = planners[1].log_line_count();
        // The authority of the other side is not checked here: this one wants to be let in.
        let files = CertificateFiles { authority: ours.files("planner").authority, ..files };
        assert_eq!(heard(address, files, b"\x06\x00\x00\x00\x08\x01\x12\x02\x0a\x00"), b"");
        planners[1].wait_for_log(lines, words);
    }

    // A drain goes through as ever, also after new certificates were put in place.
    ours.sign("planner", Role::Planner);
    ours.sign("forwarder", Role::Forwarder);
    planners.iter().for_each(|p| p.send_signal("-HUP"));
    forwarder.send_signal("-HUP");
    let lines = forwarder.log_line_count();
    replace_file(&file, good.replacen("serving", "draining", 1).as_bytes());
    forwarder.wait_for_log(lines, "3 of them serving");
    (20..40).for_each(ask);
    planners.into_iter().for_each(DewpierProcess::terminate);
    forwarder.terminate();
}

#[test]
fn a_forwarder_does_not_follow_who_only_passes_for_a_planner() {
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
    // By the two false ones it has no list; when a true one comes it has.
    let settings = ours.settings("planners.tls", "forwarder");
    let config = create_test_folder("lured").join("f.toml");
    let text = |addresses: &[SocketAddr]| {
        let listed: Vec<String> = addresses.iter().map(|a| format!("\"{a}\"")).collect();
        let listed = listed.join(", ");
        format!("listen = \"127.0.0.1:0\"\n[planners]\nname = \"f\"\naddresses = [{listed}]\n{settings}")
    };
    std::fs::write(&config, text(&addresses[..2])).unwrap();
    let mut lured = std::process::Command::new(env!("CARGO_BIN_EXE_dewpier"))
        .args(["forwarder", "--config"])
        .arg(&config)
        .stderr(std::process::Stdio::piped())
        .spawn()
        .unwrap();
    let mut log = lured.stderr.take().unwrap();
    let (told, lines) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let mut text = String::new();
        let _ = log.read_to_string(&mut text);
        let _ = told.send(text);
    });
    std::thread::sleep(Duration::from_secs(2));
    lured.kill().unwrap();
    lured.wait().unwrap();
    let text = lines.recv_timeout(WAIT_TIMEOUT).unwrap();
    assert!(!text.contains("backends from"), "{text}");
    assert!(addresses[..2].iter().all(|a| text.contains(&format!("planner {a}: "))), "{text}");
    let followed = DewpierProcess::start_forwarder_with("f1", &addresses, &settings);
    wait_for("the true one", || followed.log_lines().iter().any(|l| l.contains("1 backends from")));
    followed.terminate();
}

#[test]
fn files_that_cannot_be_used_are_told_with_their_names() {
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
        let told = Security::read(files).unwrap_err().to_string();
        assert!(told.contains(words), "{words}: {told}");
    }
    assert!(Security::read(good).is_ok());
}
