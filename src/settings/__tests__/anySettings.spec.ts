import fc from "fast-check";
import assert from "node:assert/strict";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { describe, it } from "node:test";
import { readSecretFile } from "../../cli/secretFile.ts";
import { ctlSettingsTable, issueKeySettingsTable } from "../ctlSettings.ts";
import { entrySettingsTable, readEntrySettings } from "../entrySettings.ts";
import { parseInitialConfiguration } from "../initialConfiguration.ts";
import { environmentVariableName, readSettings, SettingsError } from "../settingsTable.ts";

const required: Readonly<Record<string, string>> = {
    "instance-id": "i1",
    "data-centre": "dc1",
    "mysql-listen": "127.0.0.1:0",
    "rpc-listen": "127.0.0.1:0",
    "cluster-name": "c",
    "cluster-secret-file": "s",
    "control-members": "m1=127.0.0.1:1",
    "database-password-file": "p",
};

const anyValue = fc.oneof(
    fc.string({ unit: "binary" }),
    fc.constantFrom(
        "",
        "\n",
        "a\nb",
        "a\r\n",
        "\0",
        "1e3",
        "0x10",
        " 1",
        "1 ",
        "127.0.0.1:1\n",
        "m1=127.0.0.1:1\n,",
        "__proto__",
    ),
);

describe("settings with any values", () => {
    it("reads a value in full or refuses it by name, from a flag or a variable", () => {
        fc.assert(
            fc.property(
                fc.constantFrom(...Object.keys(entrySettingsTable)),
                anyValue,
                fc.boolean(),
                (name, value, isFlag) => {
                    const values: Record<string, string> = { ...required, [name]: value };
                    const flags = Object.entries(values).filter(([each]) => isFlag || each !== name)
                        .map(([each, text]) => `--${each}=${text}`);
                    const environment = isFlag ? {} : { [environmentVariableName(name)]: value };
                    try {
                        const settings = readEntrySettings(flags, environment);
                        const read: unknown = settings[name as keyof typeof settings];
                        assert.ok(typeof read !== "number" || String(read) === value.replace(/^0+(?=\d)/, ""));
                        assert.ok(typeof read !== "string" || read === value);
                    }
                    catch (error) {
                        assert.ok(error instanceof SettingsError, String(error));
                        assert.match(error.message, new RegExp(`${name}|${environmentVariableName(name)}`));
                    }
                },
            ),
            { seed: 48, numRuns: 3_000 },
        );
    });

    it("takes no control character in a name, an address or an id", () => {
        const table = { ...ctlSettingsTable, ...issueKeySettingsTable };
        const base = { server: "127.0.0.1:1", "cluster-name": "c", "cluster-secret-file": "s" };
        for (
            const [name, value] of [["id", "a\nb"], ["id", "a\n"], ["server", "127.0.0.1:1\n"], ["cluster-name", "c\r"]]
        ) {
            const flags = Object.entries({ ...base, [name!]: value }).map(([each, text]) => `--${each}=${text}`);
            assert.throws(() => readSettings(table, flags, {}), SettingsError, `${name} ${JSON.stringify(value)}`);
        }
    });

    it("removes the line end of a secret file, also CR LF", () => {
        const folder = mkdtempSync(join(tmpdir(), "jasmineline-"));
        try {
            for (const end of ["", "\n", "\r\n", "\r\n\r\n"]) {
                writeFileSync(join(folder, "secret"), `a secret${end}`);
                assert.equal(readSecretFile("cluster-secret-file", join(folder, "secret")), "a secret");
            }
        }
        finally {
            rmSync(folder, { recursive: true });
        }
    });

    it("reads an initial configuration or refuses it with a reason, for any text and any JSON", () => {
        const text = fc.oneof(
            fc.string(),
            fc.json(),
            fc.record({ keys: fc.array(fc.record({ id: anyValue, workspace: anyValue, doubleSha1Hex: anyValue })) })
                .map(value => JSON.stringify(value)),
        );
        fc.assert(
            fc.property(text, each => {
                try {
                    assert.ok(Array.isArray(parseInitialConfiguration(each)));
                }
                catch (error) {
                    assert.ok((error as Error).message.length > 0);
                    assert.ok(!(error instanceof TypeError) && !(error instanceof RangeError), String(error));
                }
            }),
            { seed: 49, numRuns: 1_000 },
        );
    });
});
