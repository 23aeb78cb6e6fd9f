/**
 * What an agent itself reads in the settings, checked before it believes it.
 */

import { defaultValues, resolveValues, type SettingValues } from "@chalkdale/core";
import type { PeerRecord } from "@chalkdale/peer";
import type { Log } from "@chalkdale/runtime";
import { checkJsonDocument } from "@chalkdale/settings";

/** Checks settings records and reads the root's values. */
export interface SettingsReader {
    /** Returns whether a record carries a tree that passes all checks; logs it if not. */
    readonly isSound: (record: PeerRecord) => boolean;
    /** Returns the root's values, or the defaults without a record. */
    readonly valuesOf: (record: PeerRecord | undefined) => SettingValues;
}

/** Creates a reader that checks each version once. */
export function createSettingsReader(log: Log): SettingsReader {
    let newest = -1;
    let values: SettingValues = defaultValues;
    return {
        isSound(record) {
            if (record.sequence <= newest) {
                return true;
            }
            const read = record.payload.kind === "settings" ? parse(record.payload.document) : undefined;
            if (read === undefined) {
                log.error("settings.refused", { version: record.sequence });
                return false;
            }
            newest = record.sequence;
            values = read;
            return true;
        },
        valuesOf: record => record === undefined ? defaultValues : values,
    };
}

function parse(text: string): SettingValues | undefined {
    try {
        const checked = checkJsonDocument(JSON.parse(text));
        return checked.ok ? resolveValues(checked.val, "/") : undefined;
    }
    catch {
        return undefined;
    }
}
