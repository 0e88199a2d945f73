/** One line of the table of what each role needs, and how it stands to the target. */

/** Figures that don't grow with the size, by name. */
export type Figures = Readonly<Record<string, number>>;

/** One line of the table of roles. */
export interface Need {
    readonly role: string;
    readonly what: string;
    readonly formula: string;
    readonly value: number;
    readonly unit: string;
    /** Most that is allowed, in `unit`; undefined if the target names none. */
    readonly most: number | undefined;
}

/** Makes a line. */
export const need = (
    role: string,
    what: string,
    formula: string,
    value: number,
    unit: string,
    most?: number,
): Need => ({ role, what, formula, value, unit, most });

/** A line of control messages. */
export const bytesNeed = (role: string, what: string, formula: string, value: number): Need =>
    need(role, what, formula, value, "B/s", 4_096);

/** A line of control processor time. */
export const coreNeed = (role: string, what: string, formula: string, value: number): Need =>
    need(role, what, formula, value, "% of a core", 4.3);

/** A line of control memory. */
export const memoryNeed = (role: string, what: string, formula: string, value: number): Need =>
    need(role, what, formula, value, "MB", 32);

/** What is left to the target, as text: a factor, or MISSED with the factor over it. */
export const marginOf = ({ value, most }: Need): string => {
    if (most === undefined) {
        return "no target";
    }
    return value <= most
        ? `${(most / value).toFixed(1)} times below`
        : `MISSED, ${(value / most).toFixed(1)} times over`;
};
