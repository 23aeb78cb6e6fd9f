/**
 * What callers get for bytes that are no request, or no whole one.
 *
 * Owns nothing; the codes are those of Node's parser.
 */

import { STATUS_CODES } from "node:http";
import type { CallerAnswer } from "./caller-exchange.js";

/** HTTP's status for what is no request. */
const badRequest = 400;
const statusOfCode: Readonly<Record<string, number>> = {
    HPE_HEADER_OVERFLOW: 431,
    HPE_CHUNK_EXTENSIONS_OVERFLOW: 413,
    ERR_HTTP_REQUEST_TIMEOUT: 408,
};
/** Begins the codes of what can't be parsed; other codes say that the connection itself failed. */
const parserCode = "HPE_";

/** Returns the status by the code of the error; undefined if the connection failed, which leaves nobody to answer. */
export function statusOfParseError(code: string | undefined): number | undefined {
    const status = statusOfCode[code ?? ""];
    return status ?? (code?.startsWith(parserCode) === true ? badRequest : undefined);
}

/** Returns the answer to a request whose body can't be read to its end. */
export function errorAnswer(status: number): CallerAnswer {
    return {
        bytes: 0,
        closesConnection: true,
        write(response) {
            response.sendDate = false;
            response.writeHead(status, { "Content-Length": 0, "Connection": "close" }).end();
        },
    };
}

/** Returns the answer as bytes, for what has no response since no request could be read. */
export function rawErrorResponse(status: number): string {
    return `HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n`;
}
