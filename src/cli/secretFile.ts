/** Secrets come from files, so that they show neither in process lists nor in environments. */
import { readFileSync } from "node:fs";
import { SettingsError } from "../settings/settingsTable.ts";

/**
 * Reads a secret and drops the line end that editors add.
 * @throws SettingsError that names the flag and the path
 */
export function readSecretFile(flag: string, path: string): string {
    try {
        return readFileSync(path, "utf8").trimEnd();
    }
    catch (error) {
        throw new SettingsError(`--${flag} is "${path}", which cannot be read: ${(error as Error).message}`);
    }
}
