/**
 * The demo's callers: a bounded stream of requests of every kind from three
 * regions, each answer checked against its own request.
 */

import { type Caller, createCaller } from "@chalkdale/caller";
import type { RanState } from "@chalkdale/core";
import { build } from "hdr-histogram-js";
import type { Deployment, RunningBox } from "../launch/deployment.js";

/** A climb saved or a booking made. */
export interface Operation {
    readonly name: string;
    readonly ran: RanState;
}

/** What became of the traffic. */
export interface TrafficSummary {
    readonly served: number;
    readonly refused: number;
    readonly failed: number;
    readonly wrong: number;
    readonly lines: readonly string[];
}

/** Running traffic. */
export interface Traffic {
    readonly stop: () => Promise<void>;
    /** Downloads a large pack slowly through one box; resolves with whether it came whole. */
    readonly slowDownload: (box: RunningBox) => Promise<boolean>;
    readonly operations: () => readonly Operation[];
    /** Share of a service's requests from a region that a zone served since the last reset. */
    readonly shareOf: (service: string, origin: string, zone: string) => number;
    readonly resetShares: () => void;
    readonly summary: () => TrafficSummary;
}

const interval = 20;
const requestsEach = 1;
const mostRequests = 20_000;
const mostInFlight = 400;

/** Starts the traffic; it stops by itself after a bounded number of requests. */
export function createTraffic(deployment: Deployment): Traffic {
    const seeds = deployment.boxes.map(({ callers }) => `${callers.address}:${callers.port}`);
    const regions = [...new Set(deployment.boxes.map(box => box.region))];
    const callers = regions.map((region, index) => ({
        region,
        caller: createCaller({ boxes: seeds, localAddress: `127.${originNumber(region, index)}.0.9` }),
    }));
    const latencies = build({ useWebAssembly: false, numberOfSignificantValueDigits: 2 });
    const byPlace = new Map<string, number>();
    const shares = new Map<string, number>();
    const operations: Operation[] = [];
    const running = new Set<Promise<void>>();
    let number = 0;
    let served = 0;
    let refused = 0;
    let failed = 0;
    let wrong = 0;
    const failures = new Map<string, number>();

    const timer = setInterval(() => {
        for (const { region, caller } of callers) {
            for (let count = 0; count < requestsEach && number < mostRequests && running.size < mostInFlight; count++) {
                const task = send(caller, region, number++).catch(error => {
                    noteFailure(String(error));
                    failed++;
                }).finally(() => running.delete(task));
                running.add(task);
            }
        }
    }, interval);

    return {
        async stop() {
            clearInterval(timer);
            await Promise.all(running);
            await Promise.all(callers.map(({ caller }) => caller.close()));
        },
        slowDownload,
        operations: () => operations,
        shareOf,
        resetShares: () => shares.clear(),
        summary,
    };

    async function send(caller: Caller, origin: string, id: number): Promise<void> {
        const startedAt = performance.now();
        const wanted = requestNumber(id);
        const answer = await caller.request(wanted);
        if (answer.err) {
            noteRefusal(wanted, answer.val.kind, answer.val.ran);
            return;
        }
        const { status, headers, body } = answer.val;
        const bytes = Buffer.from(await body.arrayBuffer());
        latencies.recordValue(Math.max(1, Math.round(performance.now() - startedAt)));
        served++;
        wrong += status === 200 && wanted.isWhole(bytes) ? 0 : 1;
        const place = `${String(headers["chalkdale-region"])} ${String(headers["chalkdale-zone"])}`;
        byPlace.set(place, (byPlace.get(place) ?? 0) + 1);
        const key = `${wanted.service} ${origin} ${String(headers["chalkdale-zone"])}`;
        shares.set(key, (shares.get(key) ?? 0) + 1);
        if (wanted.once) {
            operations.push({ name: wanted.body ?? "", ran: "ran" });
        }
    }

    function noteRefusal(wanted: WantedRequest, kind: string, ran: RanState): void {
        noteFailure(kind);
        refused += ran === "not-run" ? 1 : 0;
        failed += ran === "not-run" ? 0 : 1;
        if (wanted.once) {
            operations.push({ name: wanted.body ?? "", ran });
        }
    }

    function noteFailure(kind: string): void {
        failures.set(kind, (failures.get(kind) ?? 0) + 1);
    }

    async function slowDownload(box: RunningBox): Promise<boolean> {
        const address = `${box.callers.address}:${box.callers.port}`;
        const bytes = 4 * 1024 * 1024;
        const response = await fetch(`http://${address}/v1/services/tura-depot/download?bytes=${bytes}&over=4000`);
        return (await response.arrayBuffer()).byteLength === bytes;
    }

    function shareOf(service: string, origin: string, zone: string): number {
        const all = [...shares].filter(([key]) => key.startsWith(`${service} ${origin} `));
        const total = all.reduce((sum, [, count]) => sum + count, 0);
        return total === 0 ? 0 : (shares.get(`${service} ${origin} ${zone}`) ?? 0) / total;
    }

    function summary(): TrafficSummary {
        const places = [...byPlace].sort().map(([place, count]) => `  ${place.padEnd(20)} ${count}`);
        const kinds = [...failures].map(([kind, count]) => `  ${kind.padEnd(20)} ${count}`);
        return {
            served,
            refused,
            failed,
            wrong,
            lines: [
                `served ${served}, refused as not run ${refused}, p50 ${latencies.getValueAtPercentile(50)} ms, p99 ${
                    latencies.getValueAtPercentile(99)
                } ms`,
                "served by region and availability zone:",
                ...places,
                ...(kinds.length > 0 ? ["refused or failed by kind:", ...kinds] : []),
            ],
        };
    }
}

/** Regions in the demo's tree have the client blocks 127.1, 127.2 and 127.3 in this order. */
function originNumber(region: string, index: number): number {
    const order = ["ro-nord", "eu-vest", "eu-sud"];
    return (order.includes(region) ? order.indexOf(region) : index) + 1;
}

interface WantedRequest {
    readonly service: string;
    readonly path: string;
    readonly method: "GET" | "POST";
    readonly body?: string;
    readonly once: boolean;
    readonly isWhole: (bytes: Buffer) => boolean;
}

/** Routes looked up, climbs saved, bookings made, terrain packs downloaded. */
function requestNumber(id: number): WantedRequest {
    switch (id % 10) {
        case 0:
            return operation(`/save?climb=${id}`, `climb-${id}`);
        case 1:
            return operation(`/save?booking=${id}`, `booking-${id}`);
        case 2: {
            const bytes = 100_000 + id;
            const isWhole = (answer: Buffer) => answer.length === bytes;
            return { service: "tura-depot", path: `/download?bytes=${bytes}`, method: "GET", once: false, isWhole };
        }
        default: {
            const path = `/steepness?route=${id}`;
            const isWhole = (answer: Buffer) => answer.toString() === `GET ${path} `;
            return { service: "profil-api", path, method: "GET", once: false, isWhole };
        }
    }
}

function operation(path: string, body: string): WantedRequest {
    const isWhole = (answer: Buffer) => answer.toString() === `POST ${path} ${body}`;
    return { service: "profil-api", path, method: "POST", body, once: true, isWhole };
}
