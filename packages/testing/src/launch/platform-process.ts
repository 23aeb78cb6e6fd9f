/**
 * The platform's stand-in as a process: `platform-process PORT`.
 */

import { servePlatform } from "../standins/platform-server.js";

const stop = new AbortController();
process.once("SIGTERM", () => stop.abort());
await servePlatform({ address: "127.0.0.1", port: Number(process.argv[2]) }, stop.signal);
