/** A deployment on loopback for the load generator. */

import { builtScriptPath, ScriptProcess } from "./child.js";
import { Fleet } from "./fleet.js";
import { configTextOf, type Mix, type MixService } from "./loadmix.js";

/** A simulated platform, the backend servers of a mix, and entry VMs. */
export class LoadDeployment {
    readonly #fleet: Fleet;
    readonly #backends: readonly LoadServersProcess[];

    private constructor(fleet: Fleet, backends: readonly LoadServersProcess[]) {
        this.#fleet = fleet;
        this.#backends = backends;
    }

    /** Starts all processes and resolves when every entry VM serves the mix's config text. */
    static async start(mix: Mix, entries: number): Promise<LoadDeployment> {
        const fleet = await Fleet.start();
        const backends = await Promise.all(mix.services.map(startLoadServers));
        const addresses = new Map(backends.map(({ service, addresses: own }) => [service, own]));
        await fleet.publish(configTextOf(mix, addresses), 0, "load-1");
        fleet.startEntries(entries, ["a", "b", "c"], addressTtlMs);
        await fleet.publishVmList();
        await Promise.all(fleet.entries.map(entry => entry.ready()));
        return new LoadDeployment(fleet, backends);
    }

    /** "IP:port" of the entry VMs, for callers. */
    get entries(): readonly string[] {
        return this.#fleet.entries.map(entry => entry.callerAddress);
    }

    /**
     * Restarts each entry VM in turn with a planned stop.
     *
     * @throws Error if an entry VM exits with a code other than 0
     */
    async rollingRestart(): Promise<void> {
        for (const entry of this.#fleet.entries) {
            const code = await entry.child.stop(stopTimeoutMs);
            if (code !== 0) {
                throw new Error(`${entry.options.id} exited with code ${code} from a planned stop`);
            }
            entry.restart();
            await entry.ready();
        }
    }

    /** Returns how often each request id has run, over all backend servers. */
    async runs(): Promise<ReadonlyMap<string, number>> {
        const runs = new Map<string, number>();
        for (const { admin } of this.#backends) {
            const res = await fetch(`http://${host}:${admin}/runs`);
            for (const [id, count] of Object.entries(
                (await res.json()) as Readonly<Record<string, number>>,
            )) {
                runs.set(id, (runs.get(id) ?? 0) + count);
            }
        }
        return runs;
    }

    /** Stops every process. */
    async stop(): Promise<void> {
        await this.#fleet.stop();
        this.#backends.forEach(({ child }) => child.signal("SIGKILL"));
        await Promise.all(this.#backends.map(({ child }) => child.exited));
    }
}

interface LoadServersProcess {
    readonly service: string;
    readonly child: ScriptProcess;
    readonly addresses: readonly string[];
    readonly admin: number;
}

const host = "127.0.0.1";

const addressTtlMs = 2_000;

const stopTimeoutMs = 60_000;

const startLoadServers = async ({ name, servers, slots }: MixService): Promise<LoadServersProcess> => {
    const child = new ScriptProcess(builtScriptPath("bench", "loadserver"), [String(servers), String(slots)]);
    const line = await child.waitForLine(/"admin"/);
    const { admin, ports } = JSON.parse(line) as { admin: number; ports: readonly number[] };
    return { service: name, child, admin, addresses: ports.map(port => `${host}:${port}`) };
};
