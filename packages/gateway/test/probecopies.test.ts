import assert from "node:assert/strict";
import { request } from "node:http";
import type { Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { ReadPacer } from "@bramleymoor/input/pacer";
import { KeepAliveAgent } from "../src/agent.js";
import { HttpProbeClient, type ProbeClient, type ProbeResponse } from "../src/probeclient.js";
import { responseText, startRawServer, testWire, type RawServer } from "./setup.js";

const clock = (): number => performance.now();

const probeText = (headers: string): string => `HTTP/1.1 200 OK\r\n${headers}Content-Length: 0\r\n\r\n`;

const refusalText = (id: string, headers: string): string =>
    `HTTP/1.1 503 Full\r\nt-id: ${id}\r\nt-not-run: 1\r\n${headers}Content-Length: 0\r\n\r\n`;

const createAgents = (t: TestContext): Readonly<Record<"pooled" | "unpooled", KeepAliveAgent>> => {
    const settings = { marginMs: 500, clock, pacer: new ReadPacer(clock) };
    const pooled = new KeepAliveAgent({ ...settings, idleMs: 5_000 });
    const unpooled = new KeepAliveAgent({ ...settings, idleMs: 0 });
    t.after(() => {
        pooled.destroy();
        unpooled.destroy();
    });
    return { pooled, unpooled };
};

/** Starts a server that sends the texts in response to its probes, and counts the connections that probes came on. */
const startProbedServer = async (
    t: TestContext,
    texts: readonly string[],
    requestReply = "",
): Promise<{ readonly server: RawServer; readonly probed: Socket[] }> => {
    const probed: Socket[] = [];
    const answerProbe = (socket: Socket): void => {
        socket.write(texts[probed.length] ?? "");
        probed.push(socket);
    };
    const server = await startRawServer(t, "s1", ({ socket }) => socket.write(requestReply), { answerProbe });
    return { server, probed };
};

/** Sends a request over a pooled connection, which is then idle. */
const sendRequest = (agent: KeepAliveAgent, { entry }: RawServer): Promise<void> =>
    new Promise((resolve, reject) => {
        const [host = "", port = ""] = entry.address.split(":");
        const req = request({ host, port, path: "/x", agent, headers: { "t-id": "r1" } }, res => {
            res.resume().on("end", () => setImmediate(resolve));
        });
        req.on("error", reject).end();
    });

const probeOnce = (client: ProbeClient, { entry }: RawServer): Promise<ProbeResponse | undefined> =>
    client.probe(entry, "/health", () => undefined);

test("a copy of a request's refusal isn't the response to a probe, and its statements aren't the server's", async t => {
    const agents = createAgents(t);
    const refusal = refusalText("r1", "t-leaving: 1\r\nt-limit: 1\r\nt-not-now: 60000\r\n");
    const { server, probed } = await startProbedServer(t, [refusal, probeText("")], refusal);
    await sendRequest(agents.pooled, server);
    const response = await probeOnce(new HttpProbeClient(testWire, agents), server);
    assert.equal(probed.length, 2);
    assert.notEqual(probed[0], probed[1]);
    assert.ok(response);
    const { leaving, requestLimit, notNowMs } = response.statement;
    assert.deepEqual(
        { leaving, requestLimit, notNowMs },
        { leaving: false, requestLimit: Infinity, notNowMs: 0 },
    );
});

test("a copy of a request's response in a probe's place doesn't make the server count as ended", async t => {
    const agents = createAgents(t);
    const text = responseText("r1", "ran");
    const { server } = await startProbedServer(t, [text, probeText("")], text);
    await sendRequest(agents.pooled, server);
    assert.ok(await probeOnce(new HttpProbeClient(testWire, agents), server));
});
