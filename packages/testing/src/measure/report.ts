/**
 * How a measurement tells its figures.
 */

/** Tells one figure. */
export type Report = (name: string, value: number, unit: string) => void;
