/** How often each client account's recent requests were started, compared with those of all accounts. */

/** Requests of an account, or of all; old ones count less and less. */
interface Counts {
    readonly arrived: number;
    readonly started: number;
    readonly at: number;
}

/** Counts the arrivals and starts of requests by account. */
export class AccountShares {
    readonly #accounts = new Map<string, Counts>();
    #all: Counts = { arrived: 0, started: 0, at: 0 };

    /** Records that a request of an account has arrived. */
    recordArrival(account: string, now: number): void {
        this.#add(account, { arrived: 1, started: 0 }, now);
    }

    /** Records that a request of an account is sent to a server for the first time. */
    recordStart(account: string, now: number): void {
        this.#add(account, { arrived: 0, started: 1 }, now);
    }

    /** Whether the account's requests are started much less often than those of all. */
    isUnderserved(account: string, now: number): boolean {
        const counts = this.#accounts.get(account);
        if (!counts) {
            return false;
        }
        const own = decayed(counts, now);
        const all = decayed(this.#all, now);
        return own.arrived >= minArrivals && own.started * all.arrived < minShare * all.started * own.arrived;
    }

    #add(account: string, change: Omit<Counts, "at">, now: number): void {
        this.#accounts.set(account, added(this.#accounts.get(account) ?? { ...none, at: now }, change, now));
        this.#all = added(this.#all, change, now);
        const [oldest] = this.#accounts.keys();
        if (this.#accounts.size > maxAccounts && oldest !== undefined) {
            this.#accounts.delete(oldest);
        }
    }
}

const none = { arrived: 0, started: 0 };

const decayed = ({ arrived, started, at }: Counts, now: number): Counts => {
    const factor = Math.exp((at - now) / memoryMs);
    return { arrived: arrived * factor, started: started * factor, at: now };
};

const added = (counts: Counts, change: Omit<Counts, "at">, now: number): Counts => {
    const { arrived, started } = decayed(counts, now);
    return { arrived: arrived + change.arrived, started: started + change.started, at: now };
};

/**
 * Share of the rate at which all requests are started below which an account is underserved: twice the quarter that
 * callers are promised, as the counts of a small entry VM vary by chance.
 */
const minShare = 0.5;
/** With fewer recent requests than this, an account's share says nothing. */
const minArrivals = 2;
/** Time over which requests are counted: several bursts of a second. */
const memoryMs = 5_000;
/** Bounds the memory. */
const maxAccounts = 2_000;
