//! The platform's list of VMs, kept current by merging incremental reads into the last full one.

use {
    crate::{
        id::VmId,
        platform::{List, Vm},
    },
    indexmap::IndexMap,
};

/// The newest list of VMs: the last full list with all later changes.
#[derive(Debug, Default)]
pub struct Inventory {
    list: Option<List>,
    /// Index of each VM in the list.
    positions: IndexMap<VmId, usize>,
}

impl Inventory {
    /// Replaces the list by a full one, or merges the changes since the newest one.
    ///
    /// Changes are dropped until a full list has been read: without it, unchanged VMs would appear
    /// to be missing.
    pub fn merge(&mut self, read: List) {
        let Some(list) = self.list.as_mut().filter(|_| read.since_ms.is_some()) else {
            if read.since_ms.is_none() {
                self.positions = read.vms.iter().map(|vm| vm.id.clone()).zip(0..).collect();
                self.list = Some(read);
            }
            return;
        };
        list.as_of_ms = list.as_of_ms.max(read.as_of_ms);
        for vm in read.vms {
            match self.positions.get(&vm.id) {
                Some(position) => list.vms[*position] = vm,
                None => {
                    self.positions.insert(vm.id.clone(), list.vms.len());
                    list.vms.push(vm);
                }
            }
        }
    }

    /// The newest list; `None` until a full list has been read.
    pub fn current(&self) -> Option<&List> {
        self.list.as_ref()
    }

    /// The VM's entry in the newest list.
    pub fn find(&self, vm: &VmId) -> Option<&Vm> {
        let position = self.positions.get(vm)?;
        self.list.as_ref()?.vms.get(*position)
    }
}
