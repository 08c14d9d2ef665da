//! Nodes as processes, started as the deploy file says.

use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

/// The command of the deploy file.
const PROGRAM: &str = "target/release/hibiscusgw";

/// Longest time until a node is ready.
const START_TIME: Duration = Duration::from_secs(12);

pub struct Node {
    pub front: SocketAddr,
    ready: SocketAddr,
    child: Child,
}

/// A folder for settings files, removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Folder {
        let path = std::env::temp_dir().join(format!("hgw-review-{}", std::process::id()));
        fs::create_dir_all(&path).expect("the folder can be made");
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn free_port(ip: &str) -> u16 {
    let listener = TcpListener::bind((ip, 0)).expect("a port is free");
    listener.local_addr().expect("it has an address").port()
}

impl Node {
    /// Starts the node of this number, in a zone. Each has a loopback address of its own, as each has a machine.
    pub fn start(folder: &Path, number: usize, zone: &str, store: SocketAddr) -> Node {
        let (name, ip) = (format!("front-{zone}-{number}"), format!("127.0.7.{}", number + 10));
        let [front, ready, control, peers] = [(); 4].map(|()| free_port(&ip));
        let text = format!(
            "nodeName={name}\nrole=entry\nmachineClass=front\nserves=front\nip={ip}\nzone={zone}\nregion=cl-central\n\
             zones.stgo-a=cl-central\nzones.stgo-b=cl-central\nzones.rancagua=cl-central\nzones.talca=cl-central\n\
             listen.front={ip}:{front}\nlisten.ready={ip}:{ready}\nlisten.control={ip}:{control}\n\
             portRange={peers},{peers}\nseeds=\nbootstrap=true\ncountsToward=false\n\
             limits.cpuShare=0.25\nlimits.cores=1\nlimits.memoryMb=260\nlimits.maxFds=4200\nlimits.linkMbps=1000.0\n\
             limits.diskMb=0\ndiscovery=platform\nentry=vip\nheartbeatMs=1200\n\
             contracts=base,drain,config,cost,retry,recover,fleet,stream,engine,platform\n\
             faultTolerance.machines=2\nfaultTolerance.zones=1\nfaultTolerance.regions=0\n\
             bounds.seedLagS=3\nbounds.reuseAfterS=2\nbounds.contactMs=3000\nbounds.ackMs=4000\nbounds.catchUpS=4\n\
             bounds.drainMs=2000\nbounds.graceS=8\nbounds.lossSlackMs=200\nbounds.applyMs=2000\nbounds.revertMs=250\n\
             bounds.maxStretchMs=5000\nbounds.budgetRatio=0.2\nbounds.budgetWindowS=10\nbounds.budgetSlack=52\n\
             bounds.recoverS=12\nbounds.passMs=120\nbounds.againS=0\nbounds.requireFence=true\nbounds.leaseMs=3000\n\
             bounds.thawMs=300\nbounds.ceilingWindowS=5\nbounds.ceilingOver=1.1\n\
             provider.addr={store}\nprovider.form=log\nprovider.writesPerS=400\nprovider.readsPerS=2000\n\
             provider.parts=8\nprovider.appendMs=4.0\nprovider.partMbS=20.0\nprovider.readMbS=80.0\n\
             provider.recordBytes=262144\nprovider.callBytes=2097152\nprovider.keep_s=300\nprovider.partMb=200\n\
             provider.ttlMinMs=1000\n"
        );
        let settings = folder.join(format!("{name}.conf"));
        fs::write(&settings, text).expect("the settings can be written");
        let log =
            fs::File::create(folder.join(format!("{name}.log"))).expect("the log can be made");
        let mut command = Command::new(PROGRAM);
        command.arg("serve").env("HIBISCUSGW_BOOT", &settings).stdin(Stdio::null());
        let child = command.stdout(log).stderr(Stdio::null()).spawn().expect("the node starts");
        let at = |port: u16| format!("{ip}:{port}").parse().expect("an address");
        Node { front: at(front), ready: at(ready), child }
    }

    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect_timeout(&self.ready, Duration::from_millis(300))
        else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let request = "GET /api/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        let mut text = String::new();
        stream.write_all(request.as_bytes()).is_ok()
            && stream.read_to_string(&mut text).is_ok()
            && text.starts_with("HTTP/1.1 200")
    }

    /// Waits until the node is ready; returns whether it is.
    pub fn wait_until_ready(&self) -> bool {
        let until = Instant::now() + START_TIME;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
