/** Fuzzes at-most-once execution with duplicates, delays, losses, crashes, pauses, wrong issuer lookups and expiry. */

import fc from "fast-check";
import type { FuzzModel } from "./fuzz-model.js";
import { FuzzCommand } from "./fuzz-command.js";
import { OnceSimulation, type ServerResult } from "./fuzz-once-simulation.js";

const maxCommands = 80;
const vms = 3;
const callers = 2;

type Action = (sim: OnceSimulation) => void | Promise<void>;
type Command = FuzzCommand<object, OnceSimulation>;

/** Fuzz model of at-most-once execution. */
export class OnceFuzzModel implements FuzzModel {
    readonly name = "once";

    property(replayPath?: string): fc.IAsyncProperty<unknown> {
        const replay = replayPath === undefined ? {} : { replayPath };
        const commands = fc.commands(steps, { maxCommands, size: "max", ...replay });
        return fc.asyncProperty(commands, async chosen => {
            const sim = new OnceSimulation(vms, callers);
            await fc.asyncModelRun(() => ({ model: {}, real: sim }), chosen);
            await sim.finish();
        });
    }
}

const stepCommands = <T>(
    name: string,
    arb: fc.Arbitrary<T>,
    makeAction: (arg: T) => Action,
): fc.Arbitrary<Command> => arb.map(arg => command(`${name}(${JSON.stringify(arg)})`, makeAction(arg)));

/** Returns a command that runs the action and then advances virtual time by 1 ms. */
const command = (text: string, action: Action): Command =>
    new FuzzCommand(text, async sim => {
        await action(sim);
        await sim.advance(1);
    });

const smallInt = fc.nat(7);
const flag = fc.boolean();
const requestId = fc.constantFrom("r1", "r2", "r3");
/** Target and body; mostly the same, since a request is rarely repeated with others. */
const content = fc.constantFrom("post/a", "post/a", "post/a", "post/b", "put/a");
const serverResult = fc.constantFrom<ServerResult>(
    "answered",
    "answered",
    "lost after running",
    "lost before running",
    "refused",
);
const issuerLocation = fc.oneof(smallInt, fc.constantFrom<"gone" | "unreachable">("gone", "unreachable"));

const attempt = stepCommands(
    "attempt",
    fc.tuple(smallInt, requestId, content, smallInt),
    ([caller, id, what, vm]) =>
        sim => {
            sim.attempt(caller, id, what, vm);
        },
);

const burst = stepCommands("burst", fc.tuple(smallInt, requestId, smallInt), ([caller, id, vm]) => sim => {
    for (let copies = 0; copies < 3; copies++) {
        sim.attempt(caller, id, "post/a", vm + copies);
    }
});

const deliver = stepCommands("deliver", smallInt, index => sim => sim.deliver(index, false));

const copy = stepCommands("copy", smallInt, index => sim => sim.deliver(index, true));

const deliverAll = stepCommands("deliverAll", flag, keep => sim => sim.deliverAll(keep));

/** Sends a request to a table that is full of requests under an older ticket. */
const overflow = stepCommands("overflow", fc.tuple(smallInt, smallInt), ([caller, vm]) => async sim => {
    sim.fillTable(vm);
    await sim.advance(6000);
    sim.renewTicket(caller, vm);
    sim.attempt(caller, "r1", "post/a", vm);
    sim.deliver(sim.messages.length - 1, true);
});

const lose = stepCommands("lose", smallInt, index => sim => sim.drop(index));

const serve = stepCommands(
    "serve",
    fc.tuple(smallInt, serverResult),
    ([index, what]) =>
        sim =>
            sim.serve(index, what),
);

const crash = stepCommands("crash", smallInt, index => sim => sim.crash(index));

const pause = stepCommands(
    "pause",
    fc.tuple(smallInt, flag),
    ([index, on]) =>
        sim =>
            sim.pause(index, on),
);

const overrideIssuer = stepCommands(
    "overrideIssuer",
    fc.tuple(smallInt, smallInt, issuerLocation),
    ([index, other, location]) =>
        sim => {
            sim.overrideIssuer(index, other, location);
        },
);

const renew = stepCommands(
    "renew",
    fc.tuple(smallInt, smallInt),
    ([caller, vm]) =>
        sim =>
            sim.renewTicket(caller, vm),
);

const pass = stepCommands("pass", fc.integer({ min: 1, max: 12_000 }), ms => sim => sim.advance(ms));

const steps: fc.Arbitrary<Command>[] = [
    attempt,
    attempt,
    burst,
    deliver,
    deliver,
    deliver,
    copy,
    deliverAll,
    deliverAll,
    overflow,
    lose,
    serve,
    serve,
    serve,
    crash,
    pause,
    overrideIssuer,
    renew,
    pass,
];
