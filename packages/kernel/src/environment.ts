/**
 * What decisions may not read by themselves: time and chance.
 */

import type { Milliseconds } from "./ids.js";

/** Returns the monotonic time in milliseconds; the origin is arbitrary. */
export type Clock = () => Milliseconds;

/** Returns a number from 0 up to but not including 1. */
export type RandomSource = () => number;

/** Constant of Mulberry32. */
const mulberryIncrement = 0x6d2b79f5;
/** Number of values of 32 bits. */
const twoToThe32 = 4294967296;

/**
 * Creates a seeded source of random numbers (Mulberry32 by Tommy Ettinger).
 * The same seed gives the same sequence.
 */
export function createSeededRandom(seed: number): RandomSource {
    let state = seed >>> 0;
    return () => {
        state = (state + mulberryIncrement) >>> 0;
        let mixed = Math.imul(state ^ (state >>> 15), state | 1);
        mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
        return ((mixed ^ (mixed >>> 14)) >>> 0) / twoToThe32;
    };
}
