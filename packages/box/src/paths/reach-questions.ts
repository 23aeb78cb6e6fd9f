/**
 * Asks other boxes whether they reach a server.
 *
 * Owns the answers for as long as they are shared; tells the choice of forwarding boxes which boxes reach servers.
 */

import type { BackendServer, ForwardingBoxes, MemberRecord } from "@chalkdale/decisions";
import { type Clock, type IncarnationId, type Milliseconds, milliseconds } from "@chalkdale/kernel";
import type { ForwardingClient, ReachReply } from "./forwarding-client.js";
import { createSharedResults, resultLifetime } from "./shared-results.js";

export interface ReachQuestionsOptions {
    readonly clock: Clock;
    readonly client: Pick<ForwardingClient, "askReach">;
    readonly forwardingBoxes: Pick<ForwardingBoxes, "ranked" | "onFailed" | "onReached" | "onUnsupported">;
    /** Time limit for opening a connection to a server. */
    readonly connectTimeout: (server: BackendServer) => Milliseconds;
    /** True if no server has answered this box lately. */
    readonly areServersSilent: () => boolean;
}

/** Questions of one box to others. */
export interface ReachQuestions {
    /**
     * Resolves to true if another box reaches the server; an answer that was asked for at `notBefore` or later can
     * serve. Never rejects.
     */
    readonly isReached: (server: BackendServer, notBefore?: Milliseconds) => Promise<boolean>;
    /** The same, without earlier answers; notes which boxes are in service. */
    readonly askAnew: (server: BackendServer) => Promise<boolean>;
    /** True if a box has come into service since the latest call of `askAnew`. */
    readonly hasUnasked: (server: BackendServer) => boolean;
}

/** Boxes that are asked about one server at first; each further round asks twice as many. */
const firstAsked = 4;
/** Boxes that are asked in all. */
const maxAsked = 28;
/** Milliseconds for another box's answer, beyond its own time limit for a connection. */
const askMargin = 200;

/** Creates the questions of a box. */
export function createReachQuestions(options: ReachQuestionsOptions): ReachQuestions {
    const { clock, forwardingBoxes } = options;
    const answers = createSharedResults<BackendServer, boolean>(clock);
    /** Boxes in service at the latest new question. */
    let inServiceThen: ReadonlySet<IncarnationId> = new Set();

    return {
        isReached: (server, notBefore = milliseconds(clock() - resultLifetime)) =>
            answers.get(server, notBefore, () => askOthers(server)),
        askAnew(server) {
            inServiceThen = new Set(rankedBoxes(server, Infinity).map(({ incarnation }) => incarnation));
            return askOthers(server);
        },
        hasUnasked: server => rankedBoxes(server, Infinity).some(({ incarnation }) => !inServiceThen.has(incarnation)),
    };

    function rankedBoxes(server: BackendServer, count: number): readonly MemberRecord[] {
        const request = { server: server.state.record(), allowedRegions: undefined };
        return forwardingBoxes.ranked(request, count, clock());
    }

    /**
     * Asks a few boxes, and more of them as long as none reaches the server and no other server answers this box
     * either: then few boxes may be left that have a path.
     */
    async function askOthers(server: BackendServer): Promise<boolean> {
        const boxes = rankedBoxes(server, maxAsked);
        for (let from = 0, count = firstAsked; from < boxes.length; from += count, count *= 2) {
            if (await askBoxes(server, boxes.slice(from, from + count))) {
                return true;
            }
            if (!options.areServersSilent()) {
                return false;
            }
        }
        return false;
    }

    /** Resolves to true with the first box that reaches the server, or to false once no answer is outstanding. */
    function askBoxes(server: BackendServer, boxes: readonly MemberRecord[]): Promise<boolean> {
        const timeout = milliseconds(2 * options.connectTimeout(server) + askMargin);
        return new Promise(resolve => {
            const replies = boxes.map(async box => {
                const reply = await options.client.askReach(box, server.id, timeout);
                if (reply === "reached") {
                    resolve(true);
                }
                return { box, reply };
            });
            void Promise.all(replies).then(all => {
                recordReplies(all);
                resolve(false);
            });
        });
    }

    /** If some boxes reach the server, those that don't have lost their own links to it. */
    function recordReplies(replies: readonly { readonly box: MemberRecord; readonly reply: ReachReply; }[]): void {
        const isReached = replies.some(({ reply }) => reply === "reached");
        for (const { box, reply } of replies) {
            switch (reply) {
                case "reached":
                    forwardingBoxes.onReached(box.box, clock());
                    break;
                case "unsupported":
                    forwardingBoxes.onUnsupported(box);
                    break;
                case "unreached":
                case "noAnswer":
                    if (isReached) {
                        forwardingBoxes.onFailed(box.box, clock());
                    }
                    break;
            }
        }
    }
}
