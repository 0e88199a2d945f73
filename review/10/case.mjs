/** QUOTA: a planned restart of the entry machines in turn, while an account uses its burst and then asks for more than its rate. */

import process from "node:process";
import { fileURLToPath, URL } from "node:url";
import {
    BackendServer,
    Platform,
    Recorder,
    Store,
    config,
    delay,
    hostAt,
    now,
    rule,
    runCase,
    send,
} from "../lib-2/stand-ins.mjs";

const here = fileURLToPath(new URL(".", import.meta.url));
const root = fileURLToPath(new URL("../..", import.meta.url));
const withTrouble = process.env.TROUBLE !== "0";

const machines = 3;
const windowMs = 5_000;
const bounds = {
    quota_window_s: 5,
    quota_over: 0.1,
    quota_slack: 20,
    grace_s: 6,
    ttl_max_s: 5,
    drain_s: 2.5,
};
const tenant = { name: "acme", api_keys: ["k-acme"], priority: 1, rate_per_s: 40, burst: 200 };
const allowed =
    (tenant.rate_per_s * bounds.quota_window_s + tenant.burst) * (1 + bounds.quota_over) + bounds.quota_slack;
/** The platform starts a process again "after a short delay". */
const restartDelayMs = 500;

await runCase(async onEnd => {
    const recorder = new Recorder(`${here}record.txt`);
    const store = await new Store().start(hostAt(200));
    onEnd(() => store.close());
    const sentAt = new Map();
    const runs = [];
    const servers = await Promise.all(
        Array.from({ length: 8 }, (_, i) =>
            new BackendServer({
                id: `i-${i + 1}`,
                service: "one",
                slots: 16,
                queueLength: 32,
                workMs: 10,
                onRun: ({ id, arrivedAt, req }, { id: server }) => {
                    runs.push({ id, at: arrivedAt, sentAt: sentAt.get(id) });
                    recorder.write("run", { id, server, tenant: req.headers["x-tenant-id"] });
                },
            }).start(hostAt(201)),
        ),
    );
    servers.forEach(it => onEnd(() => it.close()));
    store.put(
        "keyed.op",
        "config",
        config(1, { rules: [rule("one", "/p/", "idempotent")], clusters: ["one"], tenants: [tenant] }),
    );
    servers.forEach(it => store.put("keyed.servers", it.id, it.entry()));
    const platform = new Platform({ root, store, recorder });
    onEnd(() => platform.close());
    const entries = await platform.addMachines(machines, { settings: () => ({ bounds }) });
    entries.forEach(it => platform.start(it));
    await Promise.all(entries.map(it => platform.waitUntilReady(it)));
    // Longer than the burst takes to be there again after a start.
    await delay(8_000);

    const statuses = new Map();
    let lastId = 0;
    const ask = () => {
        const candidates = entries.filter(it => it.isRunning);
        const entry = candidates[lastId % candidates.length];
        if (!entry) {
            return;
        }
        const id = `q${++lastId}`;
        sentAt.set(id, now());
        recorder.write("sent", { id, entry: entry.name });
        void send(entry, { path: `/p/${id}`, id, headers: { Authorization: "Bearer k-acme" } }).then(
            ({ status }) => {
                statuses.set(status, (statuses.get(status) ?? 0) + 1);
                recorder.write("answered", { id, status });
            },
        );
    };
    const startedAt = now();
    const perMs = 0.2;
    const load = (async () => {
        for (let asked = 0; now() - startedAt < 12_000;) {
            // 240 requests in the first 0.3 s, then 200 a second.
            const due =
                Math.min(240, (now() - startedAt) * 0.8) + Math.max(0, now() - startedAt - 300) * perMs;
            for (; asked < due; asked++) {
                ask();
            }
            await delay(5);
        }
    })();
    const restarts = [];
    if (withTrouble) {
        await delay(500);
        entries.forEach(it => platform.signal(it, "SIGKILL"));
        for (const entry of entries) {
            restarts.push(
                entry.exited.then(async () => {
                    await delay(restartDelayMs);
                    platform.start(entry);
                    await platform.waitUntilReady(entry);
                }),
            );
        }
    }
    await load;
    await Promise.all(restarts);

    const times = runs.map(({ at, sentAt: sent }) => ({ at, sent }));
    let most = 0;
    for (const { sent: from } of times) {
        const count = times.filter(it => it.sent >= from && it.at < from + windowMs).length;
        most = Math.max(most, count);
    }
    const summary = `${most} requests sent and run in a window of 5 s, ${allowed} allowed; answers ${JSON.stringify([...statuses])}`;
    recorder.write("result", { most, allowed });
    process.stdout.write(`${summary}\n`);
    return most > allowed;
});
