/** Fuzzing of at most once: attempts, copies, delays, losses, crashes, pauses, wrong beliefs and expiry. */

import fc from "fast-check";
import type { FuzzModel } from "./fuzz-model.js";
import { FuzzCommand } from "./fuzz-command.js";
import { OnceSimulation, type ServerResult } from "./fuzz-once-simulation.js";

const maxCommands = 80;
const vms = 3;
const callers = 2;

type Step = (world: OnceSimulation) => void | Promise<void>;
type Command = FuzzCommand<object, OnceSimulation>;

/** The at-most-once model. */
export class OnceFuzzModel implements FuzzModel {
    readonly name = "once";

    property(replayPath?: string): fc.IAsyncProperty<unknown> {
        const replay = replayPath === undefined ? {} : { replayPath };
        const commands = fc.commands(steps, { maxCommands, size: "max", ...replay });
        return fc.asyncProperty(commands, async chosen => {
            const world = new OnceSimulation(vms, callers);
            await fc.asyncModelRun(() => ({ model: {}, real: world }), chosen);
            await world.finish();
        });
    }
}

const stepOf = <T>(name: string, arb: fc.Arbitrary<T>, step: (arg: T) => Step): fc.Arbitrary<Command> =>
    arb.map(arg => command(`${name}(${JSON.stringify(arg)})`, step(arg)));

/** The step, and a millisecond after it. */
const command = (text: string, step: Step): Command =>
    new FuzzCommand(text, async world => {
        await step(world);
        await world.advance(1);
    });

const any = fc.nat(7);
const flag = fc.boolean();
const requestId = fc.constantFrom("r1", "r2", "r3");
/** Target and body; mostly the same ones, for a request is seldom repeated with others. */
const content = fc.constantFrom("post/a", "post/a", "post/a", "post/b", "put/a");
const fate = fc.constantFrom<ServerResult>(
    "answered",
    "answered",
    "lost after running",
    "lost before running",
    "refused",
);
const belief = fc.oneof(any, fc.constantFrom<"gone" | "unreachable">("gone", "unreachable"));

const attempt = stepOf(
    "attempt",
    fc.tuple(any, requestId, content, any),
    ([caller, id, what, vm]) =>
        world => {
            world.attempt(caller, id, what, vm);
        },
);

const burst = stepOf("burst", fc.tuple(any, requestId, any), ([caller, id, vm]) => world => {
    for (let copies = 0; copies < 3; copies++) {
        world.attempt(caller, id, "post/a", vm + copies);
    }
});

const deliver = stepOf("deliver", any, index => world => world.deliver(index, false));

const copy = stepOf("copy", any, index => world => world.deliver(index, true));

const deliverAll = stepOf("deliverAll", flag, keep => world => world.deliverAll(keep));

/** A request that finds the table full of requests under an older ticket. */
const overflow = stepOf("overflow", fc.tuple(any, any), ([caller, vm]) => async world => {
    world.fillTable(vm);
    await world.advance(6000);
    world.renewTicket(caller, vm);
    world.attempt(caller, "r1", "post/a", vm);
    world.deliver(world.messages.length - 1, true);
});

const lose = stepOf("lose", any, index => world => world.drop(index));

const serve = stepOf(
    "serve",
    fc.tuple(any, fate),
    ([index, what]) =>
        world =>
            world.serve(index, what),
);

const crash = stepOf("crash", any, index => world => world.crash(index));

const pause = stepOf(
    "pause",
    fc.tuple(any, flag),
    ([index, on]) =>
        world =>
            world.pause(index, on),
);

const believe = stepOf("believe", fc.tuple(any, any, belief), ([index, about, what]) => world => {
    world.setBelief(index, about, what);
});

const renew = stepOf(
    "renew",
    fc.tuple(any, any),
    ([caller, vm]) =>
        world =>
            world.renewTicket(caller, vm),
);

const pass = stepOf("pass", fc.integer({ min: 1, max: 12_000 }), ms => world => world.advance(ms));

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
    believe,
    renew,
    pass,
];
