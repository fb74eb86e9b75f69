//! Reads declaration files, which are TOML kept under version control.
//!
//! Several files are merged into one declaration; each object may appear in only one of them. Every
//! file is read to its end, and references between objects are resolved after all files are merged,
//! so that all faults are reported at once.

use {
    crate::{
        budget::MAX_WINDOW,
        fault::{self, Fault, Found, Reader},
        fleet::{
            Budget, DEFAULT_CONNECTIONS, DEFAULT_SLOTS, Declaration, Pool, Service, Team, Vm, Wave,
        },
        id::{Offset, OperationId, PoolId},
    },
    indexmap::{IndexMap, map::Entry},
    siphasher::sip128::{Hasher128, SipHasher13},
    std::{
        hash::Hash,
        net::{IpAddr, Ipv4Addr, SocketAddr},
        path::Path,
    },
};

/// One in parts per million.
const MILLION: u32 = 1_000_000;
/// Maximum number of slots, and of connections, of an endpoint.
const MAX_EXCHANGES: u32 = 65_536;
/// Maximum weight of a team.
const MAX_WEIGHT: u32 = 1_000_000;
/// Placeholder for an address that could not be read.
const PLACEHOLDER_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

/// File that each object was read from, by `kind.name`.
type Origins = IndexMap<String, String>;

/// Reads files and validates them as one declaration.
pub fn load<P: AsRef<Path>>(paths: &[P]) -> fault::Result<Declaration> {
    let mut merge = Merge::default();
    for path in paths {
        match fault::load(path.as_ref()) {
            Ok((file, table)) => merge.add(&file, &table),
            Err(faults) => merge.faults.extend(faults),
        }
    }
    merge.finish()
}

/// Parses texts, each with the name of its file, and validates them as one declaration.
pub fn parse(texts: &[(&str, &str)]) -> fault::Result<Declaration> {
    let mut merge = Merge::default();
    for (file, text) in texts {
        match fault::parse(file, text) {
            Ok(table) => merge.add(file, &table),
            Err(faults) => merge.faults.extend(faults),
        }
    }
    merge.finish()
}

/// Idempotency key of the operation that applies a declaration made from version `expected`.
///
/// It is derived from the content, so applying the same files again repeats the operation. A `salt`
/// makes a new operation of the same content after an earlier one was rejected.
pub fn operation(
    declaration: &Declaration,
    expected: Option<Offset>,
    salt: Option<Offset>,
) -> OperationId {
    // A declaration contains only what JSON can express; the keys of JSON objects are sorted, so
    // the text does not depend on the order of the objects.
    let content = serde_json::to_value(declaration).unwrap_or_default().to_string();
    let mut hasher = SipHasher13::new();
    (content, expected, salt).hash(&mut hasher);
    format!("apply-{:032x}", hasher.finish128().as_u128())
}

/// Objects and faults of the files read so far.
#[derive(Default)]
struct Merge {
    declaration: Declaration,
    origins: Origins,
    faults: Vec<Fault>,
}

impl Merge {
    fn add(&mut self, file: &str, table: &toml::Table) {
        let mut reader = Reader::new(file, table);
        let found = Declaration {
            pools: reader.tables("pools", pool),
            vms: reader.tables("vms", vm),
            services: reader.tables("services", service),
            teams: reader.tables("teams", team),
            waves: reader.tables("waves", wave),
        };
        self.faults.extend(reader.finish());
        let Self { declaration, origins, faults } = self;
        let mut adder = Adder { file, origins, faults };
        adder.add_all("pools", found.pools, &mut declaration.pools);
        adder.add_all("vms", found.vms, &mut declaration.vms);
        adder.add_all("services", found.services, &mut declaration.services);
        adder.add_all("teams", found.teams, &mut declaration.teams);
        adder.add_all("waves", found.waves, &mut declaration.waves);
    }

    fn finish(mut self) -> fault::Result<Declaration> {
        self.check_pool_references();
        self.check_addresses();
        self.check_pool_sizes();
        if self.faults.is_empty() { Ok(self.declaration) } else { Err(self.faults) }
    }

    fn fault(&mut self, object: &str, key: &str, value: String, wanted: String) {
        let file = self.origins.get(object).cloned().unwrap_or_default();
        let key = format!("{object}.{key}");
        self.faults.push(Fault { file, key, found: Found::Value(value), wanted });
    }

    fn check_pool_references(&mut self) {
        let declaration = &self.declaration;
        let vms = declaration.vms.iter().map(|(id, vm)| (format!("vms.{id}"), &vm.pool));
        let services = declaration.services.iter();
        let services = services.map(|(id, service)| (format!("services.{id}"), &service.pool));
        let waves = declaration.waves.iter().map(|(id, wave)| (format!("waves.{id}"), &wave.pool));
        let named = vms.chain(services).chain(waves);
        // An empty name is the placeholder of a pool that could not be read, which is already
        // reported.
        let unknown: Vec<(String, PoolId)> = named
            .filter(|(_, pool)| !pool.is_empty() && !declaration.pools.contains_key(*pool))
            .map(|(object, pool)| (object, pool.clone()))
            .collect();
        for (object, pool) in unknown {
            let wanted = String::from("must be a pool that is declared");
            self.fault(&object, "pool", format!("{pool:?}"), wanted);
        }
    }

    fn check_addresses(&mut self) {
        let mut owners: IndexMap<SocketAddr, String> = IndexMap::new();
        let mut duplicates = Vec::new();
        for (id, vm) in
            self.declaration.vms.iter().filter(|(_, vm)| vm.address != PLACEHOLDER_ADDRESS)
        {
            match owners.entry(vm.address) {
                Entry::Vacant(free) => _ = free.insert(id.clone()),
                Entry::Occupied(taken) => {
                    duplicates.push((format!("vms.{id}"), vm.address, taken.get().clone()));
                }
            }
        }
        for (object, address, owner) in duplicates {
            let wanted = format!("must differ from every other VM's; {owner} has it too");
            self.fault(&object, "address", address.to_string(), wanted);
        }
    }

    fn check_pool_sizes(&mut self) {
        let mut sizes: IndexMap<&str, u32> = IndexMap::new();
        for vm in self.declaration.vms.values() {
            *sizes.entry(&vm.pool).or_default() += 1;
        }
        let size = |id: &str| sizes.get(id).copied().unwrap_or_default();
        let pools = self.declaration.pools.iter();
        let small: Vec<(String, u32, u32)> = pools
            .filter(|(id, pool)| pool.min_vms > size(id))
            .map(|(id, pool)| (format!("pools.{id}"), pool.min_vms, size(id)))
            .collect();
        for (object, min, size) in small {
            let wanted = format!("must be at most {size}, the VMs declared in the pool");
            self.fault(&object, "min_vms", min.to_string(), wanted);
        }
    }
}

/// Adds the objects of one file to the merged declaration.
struct Adder<'a> {
    file: &'a str,
    origins: &'a mut Origins,
    faults: &'a mut Vec<Fault>,
}

impl Adder<'_> {
    fn add_all<T>(
        &mut self,
        kind: &str,
        found: IndexMap<String, T>,
        objects: &mut IndexMap<String, T>,
    ) {
        for (id, object) in found {
            let key = format!("{kind}.{id}");
            match self.origins.entry(key.clone()) {
                Entry::Vacant(free) => _ = free.insert(String::from(self.file)),
                Entry::Occupied(taken) => {
                    let wanted = format!("must stand in one file only; {} has it", taken.get());
                    let file = String::from(self.file);
                    self.faults.push(Fault { file, key, found: Found::Twice, wanted });
                    continue;
                }
            }
            objects.insert(id, object);
        }
    }
}

fn pool(reader: &mut Reader<'_>) -> Pool {
    let default = Pool::default();
    Pool {
        spare: reader.boolean("spare", default.spare),
        min_vms: reader.count("min_vms", 0..=u32::MAX, default.min_vms),
    }
}

fn vm(reader: &mut Reader<'_>) -> Vm {
    Vm {
        pool: reader.name("pool"),
        zone: reader.name("zone"),
        rack: reader.name("rack"),
        address: reader.address("address").unwrap_or(PLACEHOLDER_ADDRESS),
    }
}

fn service(reader: &mut Reader<'_>) -> Service {
    Service {
        pool: reader.name("pool"),
        slots: reader.count("slots", 1..=MAX_EXCHANGES, DEFAULT_SLOTS),
        connections: reader.count("connections", 1..=MAX_EXCHANGES, DEFAULT_CONNECTIONS),
        budget: reader.table("budget", budget),
    }
}

fn budget(reader: &mut Reader<'_>) -> Budget {
    let default = Budget::default();
    let budget = Budget {
        max_unavailable: reader.count("max_unavailable", 0..=u32::MAX, default.max_unavailable),
        max_unavailable_zone: reader.count(
            "max_unavailable_zone",
            0..=u32::MAX,
            default.max_unavailable_zone,
        ),
        target_ppm: reader.count("target_ppm", 1..=MILLION, default.target_ppm),
        window_secs: reader.number("window_secs", 1..=MAX_WINDOW.as_secs(), default.window_secs),
    };
    if budget.max_unavailable_zone > budget.max_unavailable {
        let wanted = format!("must be at most max_unavailable, {}", budget.max_unavailable);
        reader.bad_value("max_unavailable_zone", &budget.max_unavailable_zone, wanted);
    }
    budget
}

fn team(reader: &mut Reader<'_>) -> Team {
    let default = Team::default();
    let max = u64::try_from(i64::MAX).unwrap_or(u64::MAX);
    Team {
        weight: reader.count("weight", 1..=MAX_WEIGHT, default.weight),
        quota_millicores: reader.number("quota_millicores", 0..=max, default.quota_millicores),
    }
}

fn wave(reader: &mut Reader<'_>) -> Wave {
    let wanted = "a whole number from 1";
    let count = |value: &toml::Value| u32::try_from(value.as_integer()?).ok().filter(|n| *n > 0);
    Wave {
        pool: reader.name("pool"),
        max_at_once: reader.required("max_at_once", wanted, count).unwrap_or(1),
        max_failures: reader.optional("max_failures", wanted, count).unwrap_or(2),
    }
}
