/**
 * Types of the clock and the random source that are passed to decision code,
 * which reads neither by itself, and a seeded random source.
 */

import type { Milliseconds } from "./ids.js";

/** Returns the monotonic time in milliseconds; the origin is arbitrary. */
export type Clock = () => Milliseconds;

/** Returns a number from 0 up to but not including 1. */
export type RandomSource = () => number;

/** Increment of Mulberry32's state. */
const mulberryIncrement = 0x6d2b79f5;
/** Number of 32-bit values, 2^32. */
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
