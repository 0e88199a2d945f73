/** The platform's list of live and leaving VMs, which may be out of date. */

/** Source of the VM list. */
export interface VmList {
    /**
     * Returns the list as the platform knows it.
     *
     * @throws PlatformError if it can't be read
     */
    list(): Promise<readonly ListedVm[]>;
}

/** One VM in the list. */
export interface ListedVm {
    /** Stable name. */
    readonly id: string;
    /** "IP:port" where entry VMs connect to each other; for a backend server its own address. */
    readonly peerAddress: string;
    /** "IP:port" where callers connect; for a backend server its own address. */
    readonly callerAddress: string;
    readonly region: string;
    /** Failure domain. */
    readonly domain: string;
    readonly role: "entry" | "backend";
    /** The VM is about to be stopped. */
    readonly leaving: boolean;
}
