/**
 * The answers to bytes that are not a valid or not a complete request.
 *
 * Owns nothing; relies on the error codes of Node's HTTP parser.
 */

import type { CallerStatus } from "@chalkdale/decisions";
import { STATUS_CODES } from "node:http";
import type { CallerAnswer } from "./caller-exchange.js";

/** Status for bytes that can't be parsed as a request. */
const badRequest = 400;
/** Statuses of parser errors other than 400, by error code. */
const statusByCode: Readonly<Record<string, number>> = {
    HPE_HEADER_OVERFLOW: 431,
    HPE_CHUNK_EXTENSIONS_OVERFLOW: 413,
    ERR_HTTP_REQUEST_TIMEOUT: 408,
};
/** Prefix of the codes of parse errors; other codes mean that the connection itself failed. */
const parseErrorPrefix = "HPE_";

/** Returns the status for an error code; undefined if the connection failed, so that no answer can be sent. */
export function statusOfParseError(code: string | undefined): number | undefined {
    const status = statusByCode[code ?? ""];
    return status ?? (code?.startsWith(parseErrorPrefix) === true ? badRequest : undefined);
}

/** Returns the answer to a request whose body can't be read to its end. */
export function errorAnswer(status: CallerStatus): CallerAnswer {
    return {
        bytes: 0,
        closesConnection: true,
        write(response) {
            response.sendDate = false;
            response.writeHead(status, { "Content-Length": 0, "Connection": "close" }).end();
        },
    };
}

/** Returns an answer as raw HTTP, for errors without a response object since no request could be parsed. */
export function rawErrorResponse(status: number): string {
    return `HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n`;
}
