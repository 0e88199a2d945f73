/** Forwards one routed request, from its head to the last byte of the response. */

import type { IncomingMessage, ServerResponse } from "node:http";
import type { HedgeableSend } from "@bramleymoor/balance/hedging";
import type { ServerStatement } from "@bramleymoor/balance/statement";
import type { LoadSnapshot, Request, Slot, SlotResult } from "@bramleymoor/balance/types";
import type { ClientAccount, Route, RouteKind } from "@bramleymoor/model/route";
import { CallError } from "@bramleymoor/protocol/errors";
import { delay } from "@bramleymoor/proxy/delay";
import { discardResponse } from "@bramleymoor/proxy/discard";
import { toCallError } from "@bramleymoor/proxy/responses";
import { totalAgeMs, type RequestAge } from "@bramleymoor/proxy/requestage";
import type { Timer } from "@bramleymoor/proxy/timers";
import { drainPendingInput, mayHideDisconnect } from "@bramleymoor/proxy/unreadinput";
import { RequestBody } from "./body.js";
import type { Dispatcher } from "./dispatcher.js";
import { sendError } from "./errorresponse.js";
import { examineServerResponse } from "./examine.js";
import { Exchange, SendError } from "./exchange.js";
import {
    errorFor,
    slotResultOfRelay,
    outcomeOfRelay,
    slotOrThrow,
    type ForwardOutcome,
    type HedgeOutcome,
} from "./outcomes.js";
import type { ForwardOptions } from "./forwardoptions.js";
import { HedgedSend, type SendGrant } from "./hedgedsend.js";
import { peerAgeHeaders } from "./peerforward.js";
import type { QuotaGrant } from "./quotaexchange.js";
import { Relay, type RelayResult } from "./relay.js";
import { fingerprintOf, headersForPeer, headersForServer } from "./requesthead.js";
import { requestTimes, type RequestTimes } from "./requesttimes.js";
import { isNotRun, Sends } from "./sends.js";
import { ServerSend } from "./serversend.js";
import { SlotLease } from "./slotlease.js";

/** The outcome of a relayed response, or the result of a failed send after which the request may be retried. */
type SentResult = "answered" | "body-broken" | "caller-gone" | SlotResult;

/** A request that has been read. */
interface ReadRequest {
    readonly route: Route;
    readonly body: RequestBody;
    readonly times: RequestTimes;
}

/** Forwards one request. */
export class ForwardTask {
    readonly #options: ForwardOptions;
    readonly #req: IncomingMessage;
    readonly #res: ServerResponse;
    readonly #age: RequestAge;
    /** When the request's head was read. */
    readonly #readAt: number;
    readonly #ahead: number;
    /** Slots that count as attempts, in order; several may be of the same server. */
    readonly #sent = new Set<Slot>();
    readonly #sends = new Sends();
    #route: Route | undefined = undefined;
    /** Kept for all sends, also when a newer version moves the key to another account. */
    #account: ClientAccount | undefined = undefined;
    /** Whether client accounts have been configured at any time since the request was read. */
    #hadAccounts = false;
    /** Permission of the account's quota for the next send. */
    #quotaGrant: QuotaGrant | undefined = undefined;
    #service = "";
    #fingerprint: string | undefined = undefined;
    #deadlineTimer: Timer | undefined = undefined;
    #abortWait: (error: CallError) => void = () => undefined;
    #callerGone = false;
    #queueMs = 0;
    #serverMs = 0;
    #lastSentAt: number | undefined = undefined;
    #loadSnapshot: LoadSnapshot | undefined = undefined;
    #hedge: HedgeOutcome = "";
    /** Ids of the servers that hedges were sent to. */
    readonly #hedgeServers = new Set<string>();
    /** Status of a complete response, whose head may still wait for its turn. */
    #relayedStatus: number | undefined = undefined;

    constructor(options: ForwardOptions, req: IncomingMessage, res: ServerResponse) {
        this.#options = options;
        this.#req = req;
        this.#res = res;
        this.#age = options.ageOf(req);
        this.#readAt = options.clock();
        this.#ahead = options.countAhead(req);
    }

    /** Forwards the request and reports its end to `onDone`; never rejects. */
    async run(): Promise<void> {
        const onCallerGone = (): void => {
            if (!this.#res.writableFinished && !this.#callerGone) {
                this.#callerGone = true;
                this.#abortWait(new CallError("caller-gone"));
            }
        };
        this.#res.on("close", onCallerGone);
        this.#req.on("aborted", onCallerGone);
        try {
            this.#report(await this.#forward(), "");
        } catch (err) {
            const error = this.#correctNotRun(toCallError(err));
            sendError(this.#res, error, this.#options.extraHeaders(this.#req));
            this.#report(error.kind, error.detail);
        } finally {
            this.#quotaGrant?.release(this.#options.clock());
            if (this.#deadlineTimer) {
                this.#options.timers.cancel(this.#deadlineTimer);
            }
        }
    }

    async #forward(): Promise<ForwardOutcome> {
        const { wire, clock } = this.#options;
        const requestId = wire.requestId(this.#req.headers);
        if (requestId === undefined) {
            throw new CallError("bad-request", "The request has no id.");
        }
        const route = this.#options.findRoute(this.#req.headers.host ?? "", this.#req.url ?? "/");
        this.#route = route;
        this.#account = this.#options.authenticate(this.#req, route);
        this.#hadAccounts = this.#options.hasAccounts();
        this.#service = this.#options.chooseService(route);
        const dispatcher = this.#options.dispatcher(this.#service);
        if (!dispatcher) {
            throw new CallError("no-server", "The service isn't configured.", unknownServiceRetryMs);
        }
        const body = new RequestBody(this.#req, this.#options.maxBodyBytes());
        const times = requestTimes(route, this.#age, wire.deadlineMs(this.#req.headers), this.#readAt);
        this.#requireTimeToServe(times);
        if (this.#options.stopPlan()?.admits(times.deadlineAt, this.#readAt) === false) {
            throw new CallError("stopping", "", stoppingRetryMs);
        }
        this.#deadlineTimer = this.#options.timers.schedule(times.deadlineAt + responseGraceMs, () =>
            this.#abortWait(new CallError(this.#sends.doubt ? "deadline-sent" : "deadline-queued")),
        );
        await this.#waitForTurn(times);
        // A response that breaks off closes the connection, so that what follows it on the connection may get no response.
        await this.#abortable(this.#options.endOfStreamAhead(this.#req));
        await this.#abortable(body.buffer());
        await this.#requireConnection(this.#age.acceptMs);
        const elapsedMs = this.#options.elapsedMs(route, times.givenMs);
        let request: Request = {
            id: this.#options.nextId(),
            kind: route.kind,
            priority: this.#account?.priority ?? route.priority,
            arrivedAt: clock(),
            targetAt: times.arrivedAt + Math.max(0, route.targetLatencyMs - elapsedMs - responseTransitMs),
            deadlineAt: times.deadlineAt,
            callerDeadlineAt: times.callerDeadlineAt,
            tried: [],
            ...(this.#account ? { account: this.#account.name } : {}),
        };
        const read = { route, body, times };
        for (let unreachableServers = 0; ;) {
            if (this.#options.stopPlan()?.allowsSend(clock()) === false) {
                throw new CallError("stopping", "", stoppingRetryMs);
            }
            if (this.#options.peers.isNeeded) {
                return await this.#forwardToPeers(read, requestId);
            }
            const sent = await this.#sendOnce(dispatcher, request, read, requestId);
            if (!sent) {
                continue;
            }
            const { slot, result } = sent;
            if (typeof result === "string") {
                return result;
            }
            if (result.kind === "cancelled") {
                // The server's failure domain was evacuated before the request was sent.
                continue;
            }
            if (result.kind === "unreachable" && ++unreachableServers <= maxUnreachableServers) {
                request = this.#withTried(request, slot);
                continue;
            }
            this.#sent.add(slot);
            if (this.#options.peers.isNeeded && this.#mayResend(read, result)) {
                continue;
            }
            if (!this.#tryRetry(read, result)) {
                throw errorFor(result);
            }
            request = this.#withTried(request, slot);
        }
    }

    /** Returns a request that isn't sent again to a slot's server, nor to the servers of its hedges. */
    #withTried(request: Request, slot: Slot): Request {
        return { ...request, tried: [...request.tried, slot.server.id, ...this.#hedgeServers] };
    }

    /** Waits while requests that arrived before are begun, so that the turns of the event loop stay short. */
    async #waitForTurn(times: RequestTimes): Promise<void> {
        const turn = this.#options.turns.take();
        if (turn) {
            await this.#abortable(turn);
            this.#requireTimeToServe(times);
        }
    }

    /**
     * Checks that a server can be expected to answer in the time that is left.
     *
     * @throws CallError if not
     */
    #requireTimeToServe({ latestSendAt }: RequestTimes): void {
        if (this.#options.clock() > latestSendAt) {
            throw new CallError("deadline-queued", "", Math.max(minLateRetryMs, this.#age.acceptMs));
        }
    }

    /** Has a peer that reaches the servers serve the request. */
    async #forwardToPeers(read: ReadRequest, requestId: string): Promise<ForwardOutcome> {
        const tried = new Set<string>();
        for (;;) {
            const result = await this.#sendToPeer(read, requestId, tried);
            if (typeof result === "string") {
                return result;
            }
            if (tried.size >= maxPeers || !this.#mayResend(read, result)) {
                throw errorFor(result);
            }
        }
    }

    async #sendToPeer(read: ReadRequest, requestId: string, tried: Set<string>): Promise<SentResult> {
        const { wire, clock, peers } = this.#options;
        const startedAt = clock();
        // The peer applies the route's timeout itself, from the request's age on.
        const remainingMs = Math.max(1, Math.floor(read.times.callerDeadlineAt - startedAt));
        const opened = peers.open(
            {
                requestId,
                method: this.#req.method ?? "GET",
                target: this.#req.url ?? "/",
                headers: [
                    ...headersForPeer(this.#req, wire, this.#hidesCredentials()),
                    ...read.body.framingHeaders(),
                    ...wire.deadlineHeaders(remainingMs),
                    ...peerAgeHeaders(startedAt - read.times.arrivedAt),
                ],
                latestConnectAt: startedAt + connectTimeoutMs,
                kind: read.route.kind,
                writeBody: req => read.body.writeTo(req),
            },
            tried,
        );
        if (!opened) {
            throw new CallError("no-links", "", noLinksRetryMs);
        }
        const { exchange, peer } = opened;
        const send = this.#sends.begin(peer, () => exchange.sent);
        this.#lastSentAt = startedAt;
        const connectTimer = this.#scheduleConnectTimeout(exchange, startedAt);
        const abort = (): void => this.#abortExchange(exchange, read.route.kind);
        try {
            const peerRes = await this.#abortable(exchange.head, abort);
            this.#serverMs = clock() - startedAt;
            const relayResult = await this.#relay(exchange, peerRes, abort);
            const answered: SlotResult = { kind: "answered", status: peerRes.statusCode ?? 0 };
            send.end(relayResult === "complete" ? answered : slotResultOfRelay[relayResult]);
            return relayResult === "broken-before-start" ? { kind: "lost" } : outcomeOfRelay[relayResult];
        } catch (err) {
            if (err instanceof SendError) {
                send.end(err.result, err.detail);
                return err.result;
            }
            if (!(err instanceof CallError)) {
                exchange.abort({ kind: "lost" });
            }
            throw err;
        } finally {
            send.end({ kind: this.#callerGone ? "cancelled" : "timeout" });
            this.#options.timers.cancel(connectTimer);
        }
    }

    /**
     * Sends the request to the next server, unless it is quarantined or becomes so while it waits for a slot. Returns
     * undefined if it wasn't sent, and what to do has to be decided anew.
     */
    async #sendOnce(
        dispatcher: Dispatcher,
        request: Request,
        { body, times }: ReadRequest,
        requestId: string,
    ): Promise<{ readonly slot: Slot; readonly result: SentResult } | undefined> {
        const { crashGuard, countRequest } = this.#options;
        if (this.#needsQuotaGrant()) {
            await this.#acquireQuotaGrant();
        }
        const isTrial = await this.#abortable(crashGuard.admit(() => this.#fingerprintOf(body)));
        let lease: SlotLease | undefined;
        try {
            lease = await this.#acquireSlot(dispatcher, request);
            if (!lease) {
                return undefined;
            }
            if (this.#needsQuotaGrant()) {
                await this.#acquireQuotaGrant();
            }
            await this.#requireConnection(0);
            if (!isTrial && crashGuard.isQuarantined(() => this.#fingerprintOf(body))) {
                return undefined;
            }
            if (dispatcher.isEvacuated(lease.slot.server)) {
                return undefined;
            }
            this.#requireTimeToServe(times);
            if (request.tried.length === 0 && this.#lastSentAt === undefined) {
                countRequest(this.#service);
                dispatcher.hedging.recordRequest();
            }
            const result = await this.#send(dispatcher, lease, body, requestId, !isTrial);
            return { slot: lease.slot, result };
        } finally {
            lease?.release();
            if (isTrial) {
                crashGuard.endTrial(this.#fingerprintOf(body));
            }
        }
    }

    /** Returns whether the request needs another grant of its account's quota before it can be sent. */
    #needsQuotaGrant(): boolean {
        const hasQuota = this.#account !== undefined && this.#account.ratePerSecond > 0;
        return hasQuota && this.#quotaGrant?.isStale(this.#options.clock()) !== false;
    }

    /**
     * Acquires a grant of the account's quota, and returns one that is stale.
     *
     * @throws CallError if the quota is used up or can't be reached
     */
    async #acquireQuotaGrant(): Promise<void> {
        const { clock, quotas } = this.#options;
        if (!this.#account) {
            return;
        }
        this.#quotaGrant?.release(clock());
        this.#quotaGrant = undefined;
        const acquiring = quotas.acquire(this.#account, clock());
        this.#quotaGrant = await this.#abortable(acquiring, () => {
            acquiring.then(
                it => it?.release(clock()),
                () => undefined,
            );
        });
    }

    /** Returns the request's fingerprint, which takes as long as a tenth of a rejection. */
    #fingerprintOf(body: RequestBody): string {
        this.#fingerprint ??= fingerprintOf(
            this.#req,
            body,
            this.#options.wire,
            this.#hidesCredentials(),
            this.#account,
        );
        return this.#fingerprint;
    }

    /** Waits for a slot; returns undefined if this entry VM loses its links to the servers meanwhile. */
    async #acquireSlot(dispatcher: Dispatcher, request: Request): Promise<SlotLease | undefined> {
        const startedAt = this.#options.clock();
        const acquiring = dispatcher.acquireSlot(request).then(acquired => {
            const slot = slotOrThrow(acquired);
            return slot && new SlotLease(slot, dispatcher);
        });
        const lease = await this.#abortable(acquiring, () => {
            dispatcher.withdraw(request);
            // A slot that was granted in the same turn.
            acquiring.then(
                it => it?.release(),
                () => undefined,
            );
        });
        this.#queueMs += this.#options.clock() - startedAt;
        if (lease) {
            this.#loadSnapshot = lease.slot.load;
        }
        return lease;
    }

    /**
     * Checks that the request can still be answered. Reads the caller's disconnect first, if it may lie unread in this process's
     * sockets.
     *
     * @param acceptMs how long the connection waited to be accepted or read
     * @throws CallError if the caller has disconnected, or an earlier response has ended the connection
     */
    async #requireConnection(acceptMs: number): Promise<void> {
        if (mayHideDisconnect({ lagMs: this.#options.lagMs(), acceptMs })) {
            await this.#abortable(drainPendingInput());
        }
        if (this.#req.socket.writableEnded) {
            throw new CallError("caller-gone", "An earlier response has ended the connection.");
        }
    }

    /**
     * Sends the request to the slot's server, and perhaps to another one. Returns the outcome once a response has been relayed, or the
     * result of a failed send after which the request may be retried.
     */
    async #send(
        dispatcher: Dispatcher,
        lease: SlotLease,
        body: RequestBody,
        requestId: string,
        mayHedge: boolean,
    ): Promise<SentResult> {
        const first = this.#beginSend(dispatcher, lease, body, requestId);
        const sends = this.#hedged(dispatcher, first, body, requestId, mayHedge);
        const { kind } = lease.slot.request;
        const abort = (): void => sends.abort(it => this.#abortExchange(it, kind));
        try {
            const { send, res: serverRes } = await this.#abortable(sends.head, abort);
            const { slot, exchange } = send;
            this.#serverMs = this.#options.clock() - first.startedAt;
            if (first.exchange.sent) {
                this.#sent.add(first.slot);
            }
            this.#countHedge(sends.hedge, send);
            const answered = send.recordHead(serverRes);
            const status = serverRes.statusCode ?? 0;
            if (status >= firstServerErrorStatus && this.#mayRetryServerError(slot, body)) {
                discardResponse(serverRes, () => exchange.finish());
                return await send.settle(answered);
            }
            const relayResult = await this.#relay(exchange, serverRes, abort, () =>
                this.#confirmAlive(dispatcher, slot),
            );
            await send.settle(relayResult === "complete" ? answered : slotResultOfRelay[relayResult]);
            return relayResult === "broken-before-start" ? { kind: "lost" } : outcomeOfRelay[relayResult];
        } catch (err) {
            if (first.exchange.sent) {
                this.#sent.add(first.slot);
            }
            this.#countHedge(sends.hedge);
            if (err instanceof SendError) {
                const result = await first.fail(err);
                await sends.settle(result);
                return result;
            }
            if (!(err instanceof CallError)) {
                sends.abort(it => it.abort({ kind: "lost" }));
                await sends.settle({ kind: "lost" });
                throw err;
            }
            await sends.settle({ kind: err.kind === "caller-gone" ? "cancelled" : "timeout" });
            throw err;
        } finally {
            if (first.mayHaveRun) {
                // The request needs another grant to be sent again.
                this.#quotaGrant = undefined;
            }
            sends.end();
        }
    }

    #beginSend(dispatcher: Dispatcher, lease: SlotLease, body: RequestBody, requestId: string): ServerSend {
        const { clock, timers, linksLost, evacuationChanged, crashGuard, onSendLost } = this.#options;
        this.#lastSentAt = clock();
        return new ServerSend({
            lease,
            dispatcher,
            sends: this.#sends,
            requestId,
            fingerprint: () => this.#fingerprintOf(body),
            open: onStatement => this.#openExchange(lease.slot, body, requestId, onStatement),
            clock,
            timers,
            connectTimeoutMs,
            linksLost,
            evacuationChanged,
            crashGuard,
            onSendLost,
        });
    }

    /** @param mayHedge whether the request may be at two servers at the same time */
    #hedged(
        dispatcher: Dispatcher,
        first: ServerSend,
        body: RequestBody,
        requestId: string,
        mayHedge: boolean,
    ): HedgedSend {
        const { clock, timers, wire, peers, stopPlan, crashGuard, onInternalError } = this.#options;
        const { kind, deadlineAt } = first.slot.request;
        return new HedgedSend({
            first,
            dispatcher,
            hedgeable: (): HedgeableSend => ({
                kind,
                deadlineAt,
                attempts: this.#sent.size + 1,
                maxAttempts: this.#route?.maxAttempts ?? 0,
            }),
            maySend: () =>
                mayHedge &&
                body.isBuffered &&
                !this.#callerGone &&
                !peers.isNeeded &&
                stopPlan()?.allowsSend(clock()) !== false &&
                !crashGuard.isSuspect(() => this.#fingerprintOf(body)),
            takeGrant: () => this.#takeHedgeGrant(),
            tryRetry: () => this.#options.tryRetry(this.#service),
            begin: lease => {
                this.#hedge = "lost";
                this.#hedgeServers.add(lease.slot.server.id);
                return this.#beginSend(dispatcher, lease, body, requestId);
            },
            notRunStatuses: wire.notRunStatuses,
            clock,
            timers,
            onInternalError,
        });
    }

    /** Takes a grant of the account's quota for a hedge; resolves to undefined if there is none. */
    async #takeHedgeGrant(): Promise<SendGrant | undefined> {
        const { takeHedgeGrant } = this.#options;
        try {
            return takeHedgeGrant ? await takeHedgeGrant(this.#account) : { release: () => undefined };
        } catch (err) {
            if (err instanceof CallError) {
                return undefined;
            }
            throw err;
        }
    }

    /** Counts a hedge that was sent as an attempt, and records whether it was answered first. */
    #countHedge(hedge: ServerSend | undefined, answered?: ServerSend): void {
        if (!hedge?.exchange.sent) {
            return;
        }
        this.#sent.add(hedge.slot);
        if (hedge === answered) {
            this.#hedge = "won";
            this.#loadSnapshot = hedge.slot.load;
        }
    }

    /** Resolves to whether a slot's server lives, or to false shortly before the request's deadline. */
    async #confirmAlive(dispatcher: Dispatcher, { server, request }: Slot): Promise<boolean> {
        const remainingMs = request.deadlineAt - responseTransitMs - this.#options.clock();
        const expired = delay(Math.max(0, remainingMs)).then(() => false);
        return await Promise.race([dispatcher.confirmAlive(server), expired]);
    }

    /** @param confirmAlive resolves to whether the server that responds lives; undefined if that can't be found out */
    async #relay(
        exchange: Exchange,
        res: IncomingMessage,
        abort: () => void,
        confirmAlive?: () => Promise<boolean>,
    ): Promise<RelayResult> {
        const { isPipelined, isFollowed, responseBuffers, exitReset } = this.#options;
        const relay = new Relay(res, this.#res, {
            isBroken: () => exchange.isBroken,
            hasEndedInOrder: () => exchange.hasEndedInOrder(),
            isPipelined: () => isPipelined(this.#req),
            isFollowed: () => isFollowed(this.#req),
            buffers: responseBuffers,
            exitReset,
            confirmAlive,
            onInternalError: this.#options.onInternalError,
        });
        const result = await this.#abortable(
            relay.run(() => this.#options.extraHeaders(this.#req)),
            abort,
        );
        exchange.finish();
        if (result === "complete") {
            this.#relayedStatus = res.statusCode;
        }
        return result;
    }

    #scheduleConnectTimeout(exchange: Exchange, startedAt: number): Timer {
        return this.#options.timers.schedule(startedAt + connectTimeoutMs, () => {
            if (!exchange.sent) {
                exchange.abort({ kind: "unreachable" });
            }
        });
    }

    /**
     * Returns the error to report. One that claims "not run" needs the proof of every send; without it, it is replaced by the
     * error of the send that leaves the doubt.
     */
    #correctNotRun(error: CallError): CallError {
        const claimsNotRun = error.info.ran === "not run" && error.kind !== "caller-gone";
        const { doubt } = this.#sends;
        return claimsNotRun && doubt ? errorFor(doubt) : error;
    }

    #openExchange(
        slot: Slot,
        body: RequestBody,
        requestId: string,
        onStatement: (statement: ServerStatement) => void,
    ): Exchange {
        const { wire, clock, agents, recordStatement } = this.#options;
        const remainingMs = Math.max(1, Math.floor(slot.request.deadlineAt - clock()));
        const added = wire.requestHeaders(remainingMs, slot.server.id);
        const sent = { requestId, kind: slot.request.kind };
        return new Exchange({
            address: slot.server.address,
            agent: this.#mayReuseConnection(slot, requestId) ? agents.pooled : agents.unpooled,
            requestId,
            method: this.#req.method ?? "GET",
            target: this.#req.url ?? "/",
            headers: [
                ...headersForServer(this.#req, wire, this.#hidesCredentials(), this.#account),
                ...body.framingHeaders(),
                ...added,
            ],
            latestConnectAt: clock() + connectTimeoutMs,
            clock,
            examine: (res, connection) =>
                examineServerResponse(res, connection, sent, wire, (statement, source) => {
                    onStatement(statement);
                    recordStatement(slot.server, statement, source);
                }),
            writeBody: req => body.writeTo(req),
        });
    }

    /** Returns whether a send leaves out the caller's key; also if accounts were configured while the request waited. */
    #hidesCredentials(): boolean {
        this.#hadAccounts ||= this.#options.hasAccounts();
        return this.#hadAccounts;
    }

    /**
     * Returns whether the request may use a pooled connection. One that has carried its id may hold a copy of the response to
     * that send. The server may have dropped one that has been idle, and a request lost on it may have run. One that has just
     * carried a response, usually to a probe, is alive.
     */
    #mayReuseConnection({ request, server }: Slot, requestId: string): boolean {
        const { pooled } = this.#options.agents;
        return (
            !pooled.hasCarried(server.address, requestId) &&
            (request.kind !== "non-idempotent" || pooled.wasUsedWithin(server.address, maxIdleMs))
        );
    }

    /**
     * Aborts a send, unless a non-idempotent request was sent and its caller has disconnected: it then runs to its end,
     * as a partial execution would be worse.
     */
    #abortExchange(exchange: Exchange, kind: RouteKind): void {
        if (kind !== "non-idempotent" || !this.#callerGone || !exchange.sent) {
            exchange.abort({ kind: this.#callerGone ? "cancelled" : "timeout" });
        }
    }

    /** Returns whether to retry at a server after a failed send; if so, takes the retry from the service's budget. */
    #tryRetry(read: ReadRequest, result: SlotResult): boolean {
        return (
            this.#mayResend(read, result) &&
            this.#sent.size < read.route.maxAttempts &&
            this.#options.tryRetry(this.#service)
        );
    }

    /** Returns whether the request may be sent again after a failed send, as far as it is concerned. */
    #mayResend({ route, body, times }: ReadRequest, result: SlotResult): boolean {
        const retriable = isNotRun(result) || (route.kind !== "non-idempotent" && result.kind !== "timeout");
        return (
            retriable &&
            body.replayable &&
            !this.#res.headersSent &&
            this.#options.clock() + minRetryMs < times.deadlineAt
        );
    }

    /** Returns whether a 5xx response may be discarded for a retry; the retry budget is checked later. */
    #mayRetryServerError(slot: Slot, body: RequestBody): boolean {
        const route = this.#route;
        return (
            route !== undefined &&
            route.kind !== "non-idempotent" &&
            body.replayable &&
            this.#sent.size < route.maxAttempts &&
            this.#options.clock() + minRetryMs < slot.request.deadlineAt
        );
    }

    /** Waits for `work`; calls `onAbort` and rejects if the deadline passes or the caller disconnects first. */
    #abortable<T>(work: Promise<T>, onAbort: () => void = () => undefined): Promise<T> {
        return new Promise((resolve, reject) => {
            this.#abortWait = error => {
                reject(error);
                onAbort();
            };
            work.then(resolve, reject);
            if (this.#callerGone) {
                this.#abortWait(new CallError("caller-gone"));
            }
        });
    }

    #report(outcome: ForwardOutcome, detail: string): void {
        this.#options.onDone({
            requestId: this.#options.wire.requestId(this.#req.headers) ?? "",
            route: this.#route,
            account: this.#account?.name ?? "",
            service: this.#service,
            outcome,
            status: this.#relayedStatus ?? (this.#res.headersSent ? this.#res.statusCode : 0),
            servers: [...this.#sent].map(({ server }) => server.id),
            hedge: this.#hedge,
            sends: outcome === "answered" ? "" : this.#sends.describe(),
            queueMs: this.#queueMs,
            serverMs: this.#serverMs,
            totalMs: this.#options.clock() - this.#readAt + totalAgeMs(this.#age),
            loadSnapshot: this.#loadSnapshot,
            age: this.#age,
            ahead: this.#ahead,
            sinceSendMs: this.#lastSentAt === undefined ? -1 : this.#options.clock() - this.#lastSentAt,
            detail,
        });
    }
}

const firstServerErrorStatus = 500;
/** Time after the deadline in which a response that the server sent right at it can still reach the caller. */
const responseGraceMs = 40;
/** Time that a response spends in the network on its way to the caller. */
const responseTransitMs = 20;
/** Several round trips between failure domains. */
const connectTimeoutMs = 250;
/** Maximum number of unreachable servers per request that don't count as attempts, as nothing was sent to them. */
const maxUnreachableServers = 4;
/** Maximum number of peers that one request is sent to. */
const maxPeers = 3;
/** Shortest time after which the caller of a request that was read too late may return; one that waited longer, after as long. */
const minLateRetryMs = 150;
/** Time after which a peer that has room is likely to be known. */
const noLinksRetryMs = 300;
/** The caller goes to another entry VM, which is ready. */
const stoppingRetryMs = 0;
/** With less time than this to the deadline a retry is unlikely to succeed. */
const minRetryMs = 60;
/** A configuration with the missing service is being distributed, which takes at most 2 s. */
const unknownServiceRetryMs = 500;
/** Idle time up to which a connection counts as alive; some servers drop one after as little as 300 ms. */
const maxIdleMs = 150;
