/** The platform's list of live and leaving VMs, which lags and is only a hint. */

/** One line of the platform's list. */
export interface ListedVm {
    readonly id: string;
    /** "IP:port" where peers connect. */
    readonly peerAddress: string;
    /** Whether the platform says that it is leaving. */
    readonly leaving: boolean;
}

/** The newest list taken. */
export class VmList {
    #vms: ReadonlyMap<string, ListedVm> = new Map();

    update(listed: readonly ListedVm[]): void {
        this.#vms = new Map(listed.map(vm => [vm.id, vm]));
    }

    /** Peer addresses to try. */
    get addresses(): readonly string[] {
        return [...this.#vms.values()].map(vm => vm.peerAddress);
    }

    isLeaving(id: string): boolean {
        return this.#vms.get(id)?.leaving === true;
    }

    /** Tells whether there is a list and the VM isn't in it. */
    isMissing(id: string): boolean {
        return this.#vms.size > 0 && !this.#vms.has(id);
    }
}
