/** One line of the table of what each role needs, and how it stands to the target. */

/** Figures that don't grow with the size, by name. */
export type Figures = Readonly<Record<string, number>>;

/** One line of the table of roles. */
export interface CapacityRow {
    readonly role: string;
    readonly what: string;
    readonly formula: string;
    readonly value: number;
    readonly unit: string;
    /** Most that is allowed, in `unit`; undefined if the target names none. */
    readonly limit: number | undefined;
}

/** Makes a line. */
export const capacityRow = (
    role: string,
    what: string,
    formula: string,
    value: number,
    unit: string,
    limit?: number,
): CapacityRow => ({ role, what, formula, value, unit, limit });

/** A line of control messages. */
export const bandwidthRow = (role: string, what: string, formula: string, value: number): CapacityRow =>
    capacityRow(role, what, formula, value, "B/s", 4_096);

/** A line of control processor time. */
export const cpuRow = (role: string, what: string, formula: string, value: number): CapacityRow =>
    capacityRow(role, what, formula, value, "% of a core", 4.3);

/** A line of control memory. */
export const memoryRow = (role: string, what: string, formula: string, value: number): CapacityRow =>
    capacityRow(role, what, formula, value, "MB", 32);

/** What is left to the target, as text: a factor, or MISSED with the factor over it. */
export const marginOf = ({ value, limit }: CapacityRow): string => {
    if (limit === undefined) {
        return "no target";
    }
    return value <= limit
        ? `${(limit / value).toFixed(1)} times below`
        : `MISSED, ${(value / limit).toFixed(1)} times over`;
};
