/** Selects the items of lowest cost without sorting all of them. */

/** An item with its cost. */
interface Priced {
    readonly cost: number;
}

/** Returns the `count` items of lowest cost, in ascending order. */
export const cheapest = <T extends Priced>(items: readonly T[], count: number): readonly T[] => {
    const best: T[] = [];
    for (const item of items) {
        const last = best[count - 1];
        if (!last || item.cost < last.cost) {
            const at = best.findIndex(it => item.cost < it.cost);
            best.splice(at === -1 ? best.length : at, 0, item);
            best.length = Math.min(best.length, count);
        }
    }
    return best;
};
