/** Rows of the capacity table: what each role needs, compared with its limit. */

/** Measured values that don't depend on size, by name. */
export type Figures = Readonly<Record<string, number>>;

/** One row of the capacity table. */
export interface CapacityRow {
    readonly role: string;
    readonly what: string;
    readonly formula: string;
    readonly value: number;
    readonly unit: string;
    /** Greatest allowed value, in `unit`; undefined if there is no limit. */
    readonly limit: number | undefined;
}

/** Creates a row. */
export const capacityRow = (
    role: string,
    what: string,
    formula: string,
    value: number,
    unit: string,
    limit?: number,
): CapacityRow => ({ role, what, formula, value, unit, limit });

/** Creates a row of control traffic; at most 4,096 B/s. */
export const bandwidthRow = (role: string, what: string, formula: string, value: number): CapacityRow =>
    capacityRow(role, what, formula, value, "B/s", 4_096);

/** Creates a row of processor time for control work; at most 4.3% of a core. */
export const cpuRow = (role: string, what: string, formula: string, value: number): CapacityRow =>
    capacityRow(role, what, formula, value, "% of a core", 4.3);

/** Creates a row of memory for control data; at most 32 MB. */
export const memoryRow = (role: string, what: string, formula: string, value: number): CapacityRow =>
    capacityRow(role, what, formula, value, "MB", 32);

/** Returns the margin to the limit as text: the factor below it, or MISSED with the factor above it. */
export const marginOf = ({ value, limit }: CapacityRow): string => {
    if (limit === undefined) {
        return "no target";
    }
    return value <= limit
        ? `${(limit / value).toFixed(1)} times below`
        : `MISSED, ${(value / limit).toFixed(1)} times over`;
};
