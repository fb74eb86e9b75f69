//! The platform's list of VMs, kept up to date by what has changed in it.

use {
    crate::{
        id::VmId,
        platform::{List, Vm},
    },
    indexmap::IndexMap,
};

/// The newest list, put together from a whole one and the changes since.
#[derive(Debug, Default)]
pub struct Roster {
    list: Option<List>,
    places: IndexMap<VmId, usize>,
}

impl Roster {
    /// Takes a whole list, or what has changed since the newest one.
    ///
    /// Changes are dropped until a whole list has come: alone they would show VMs as missing.
    pub fn merge(&mut self, read: List) {
        let Some(list) = self.list.as_mut().filter(|_| read.since_ms.is_some()) else {
            if read.since_ms.is_none() {
                self.places = read.vms.iter().map(|vm| vm.id.clone()).zip(0..).collect();
                self.list = Some(read);
            }
            return;
        };
        list.as_of_ms = list.as_of_ms.max(read.as_of_ms);
        for vm in read.vms {
            match self.places.get(&vm.id) {
                Some(place) => list.vms[*place] = vm,
                None => {
                    self.places.insert(vm.id.clone(), list.vms.len());
                    list.vms.push(vm);
                }
            }
        }
    }

    /// The newest list; none before the first.
    pub fn whole(&self) -> Option<&List> {
        self.list.as_ref()
    }

    /// A VM as the newest list shows it.
    pub fn find(&self, vm: &VmId) -> Option<&Vm> {
        let place = self.places.get(vm)?;
        self.list.as_ref()?.vms.get(*place)
    }
}
