/**
 * Keeps subscriptions to other agents open.
 */

import { type Clock, type Milliseconds, milliseconds } from "@chalkdale/core";
import { type Address, createTask, type Log, type Stepped } from "@chalkdale/runtime";
import type { PeerRecord } from "./payload.js";
import type { PeerConnection, PeerIdentity, PeerNetwork, SubscriptionScope } from "./peer-network.js";

/** A subscription's target. */
export interface SubscriptionTarget {
    /** Name for logs; an address where the box is not known. */
    readonly name: string;
    readonly address: Address;
    readonly scope: SubscriptionScope;
}

/** All subscriptions of one process. */
export interface PeerSubscriptions extends Stepped {
    /** Returns whether a target, or any of them, was heard within a time. */
    readonly hears: (within: number, name?: string) => boolean;
    /** Returns the connection to a target that is subscribed to. */
    readonly connection: (name: string) => PeerConnection | undefined;
}

export interface PeerSubscriptionsOptions {
    readonly self: PeerIdentity;
    readonly network: PeerNetwork;
    readonly clock: Clock;
    readonly log: Log;
    readonly signal: AbortSignal;
    /** Returns whom to subscribe to; asked at every step. */
    readonly targets: () => readonly SubscriptionTarget[];
    readonly onRecords: (records: readonly PeerRecord[], from: string) => void;
}

interface OpenSubscription {
    readonly target: SubscriptionTarget;
    readonly controller: AbortController;
    readonly connection: PeerConnection;
    readonly task: Stepped;
    heardAt: Milliseconds;
    failing: boolean;
}

/** Milliseconds between two attempts to reach a target. */
const retryPause = 500;

/** Creates the subscriptions; each step opens and closes them as the targets say. */
export function createPeerSubscriptions(options: PeerSubscriptionsOptions): PeerSubscriptions {
    const { clock, log } = options;
    const open = new Map<string, OpenSubscription>();

    return {
        step() {
            const wanted = new Map(options.targets().map(target => [keyOf(target), target]));
            for (const [key, subscription] of open) {
                if (!wanted.has(key)) {
                    subscription.controller.abort();
                    open.delete(key);
                }
            }
            for (const [key, target] of wanted) {
                if (!open.has(key)) {
                    open.set(key, start(target));
                }
            }
            open.forEach(subscription => subscription.task.step());
        },
        hears: (within, name) =>
            [...open.values()].some(({ target, heardAt }) =>
                (name === undefined || target.name === name) && clock() - heardAt <= within
            ),
        connection: name => [...open.values()].find(({ target }) => target.name === name)?.connection,
    };

    function start(target: SubscriptionTarget): OpenSubscription {
        const controller = new AbortController();
        const signal = AbortSignal.any([options.signal, controller.signal]);
        const subscription: OpenSubscription = {
            target,
            controller,
            connection: options.network.connect(target.address, signal),
            task: createTask(
                { clock, interval: () => retryPause, signal, onFailure: error => noteFailure(subscription, error) },
                () => listen(subscription, signal),
            ),
            heardAt: milliseconds(-Infinity),
            failing: false,
        };
        return subscription;
    }

    async function listen(subscription: OpenSubscription, signal: AbortSignal): Promise<void> {
        for await (
            const records of subscription.connection.subscribe(options.self, subscription.target.scope, signal)
        ) {
            if (subscription.failing || subscription.heardAt === -Infinity) {
                log.info("peer.heard", { peer: subscription.target.name });
            }
            subscription.failing = false;
            subscription.heardAt = clock();
            options.onRecords(records, subscription.target.name);
        }
    }

    function noteFailure(subscription: OpenSubscription, error: unknown): void {
        if (!subscription.failing) {
            log.warn("peer.lost", { peer: subscription.target.name, reason: String(error) });
        }
        subscription.failing = true;
    }
}

function keyOf({ name, address, scope }: SubscriptionTarget): string {
    return `${name} ${address.address} ${address.port} ${scope}`;
}
