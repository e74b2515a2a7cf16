/** Secrets are read from files, so that process lists and environment variables do not expose them. */
import { readFileSync } from "node:fs";
import { SettingsError } from "../settings/settingsTable.ts";

/**
 * Reads a secret and removes trailing white space, such as the newline that editors add.
 * @param flag name of the setting, for the error message
 * @throws SettingsError with the flag and the path when the file cannot be read
 */
export function readSecretFile(flag: string, path: string): string {
    try {
        return readFileSync(path, "utf8").trimEnd();
    }
    catch (error) {
        throw new SettingsError(`--${flag} is "${path}", which cannot be read: ${(error as Error).message}`);
    }
}
