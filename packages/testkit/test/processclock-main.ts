/** Works for 300 ms of its own time, and prints how much time passed and how much its clock counted. */

import { ProcessClock } from "../src/processclock.js";

const workMs = 300;
const clock = new ProcessClock();
const [startedAt, countedFrom] = [performance.now(), clock.now()];
const usedBefore = process.cpuUsage();
const usedMs = (): number => {
    const { user, system } = process.cpuUsage(usedBefore);
    return (user + system) / 1_000;
};
while (usedMs() < workMs) {
    Math.random();
}
console.log(
    JSON.stringify({ passedMs: performance.now() - startedAt, countedMs: clock.now() - countedFrom }),
);
