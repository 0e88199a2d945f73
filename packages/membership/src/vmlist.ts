/** The platform's list of live and leaving VMs. It lags behind and serves only as a hint. */

/** One VM in the platform's list. */
export interface ListedVm {
    readonly id: string;
    /** "IP:port" where peers connect. */
    readonly peerAddress: string;
    /** Whether the platform reports the VM as leaving. */
    readonly leaving: boolean;
}

/** Keeps the newest list received from the platform. */
export class VmListCache {
    #vms: ReadonlyMap<string, ListedVm> = new Map();

    update(listed: readonly ListedVm[]): void {
        this.#vms = new Map(listed.map(vm => [vm.id, vm]));
    }

    /** Peer addresses of all listed VMs. */
    get addresses(): readonly string[] {
        return [...this.#vms.values()].map(vm => vm.peerAddress);
    }

    isLeaving(id: string): boolean {
        return this.#vms.get(id)?.leaving === true;
    }

    /** Returns whether a non-empty list was received that doesn't contain the VM. */
    isMissing(id: string): boolean {
        return this.#vms.size > 0 && !this.#vms.has(id);
    }
}
