import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { readEntrySettings } from "../entrySettings.ts";
import { parseInitialConfiguration } from "../initialConfiguration.ts";

const completeFlags = {
    "instance-id": "e1",
    "data-centre": "flanders",
    "mysql-listen": "127.0.0.1:3306",
    "rpc-listen": "127.0.0.1:4000",
    "cluster-name": "test",
    "cluster-secret-file": "secret",
    "control-members": "e1=127.0.0.1:4000",
    "data-folder": "data",
    "database-password-file": "password",
};

function flagsWith(changes: Readonly<Record<string, string | undefined>> = {}): string[] {
    return Object.entries({ ...completeFlags, ...changes }).flatMap(([name, value]) =>
        value === undefined ? [] : [`--${name}`, value]
    );
}

describe("entry settings", () => {
    it("prefers flags to environment variables, and these to defaults", () => {
        const settings = readEntrySettings(flagsWith(), {
            JASMINELINE_LOG_FORMAT: "text",
            JASMINELINE_INSTANCE_ID: "other",
        });
        assert.equal(settings["instance-id"], "e1");
        assert.equal(settings["log-format"], "text");
        assert.equal(settings["max-connections"], 10_000);
        assert.deepEqual(settings["mysql-listen"], { host: "127.0.0.1", port: 3_306 });
    });

    it("maps the announced addresses of peers to the addresses under which they are reached", () => {
        // Otherwise an instance behind address translation connects to an announced address that it cannot reach.
        const addresses = "10.0.0.1:4000=127.0.0.1:5000,10.0.0.2:4000=[::1]:5001";
        const settings = readEntrySettings(flagsWith({ "peer-addresses": addresses }), {});
        assert.deepEqual([...settings["peer-addresses"]], [
            ["10.0.0.1:4000", "127.0.0.1:5000"],
            ["10.0.0.2:4000", "[::1]:5001"],
        ]);
        assert.equal(readEntrySettings(flagsWith(), {})["peer-addresses"].size, 0);
    });

    const invalidSettings: readonly (readonly [Record<string, string | undefined>, RegExp])[] = [
        [{ "instance-id": undefined }, /--instance-id is missing; .*JASMINELINE_INSTANCE_ID/],
        [{ "mysql-listen": "localhost" }, /--mysql-listen has the value "localhost"; allowed is IP:PORT/],
        [{ "mysql-listen": "127.0.0.1:99999" }, /allowed is IP:PORT/],
        [{ "max-connections": "0" }, /a whole number from 1 to 100000/],
        [{ "control-members": "e1=127.0.0.1:1,e2=127.0.0.1:2" }, /1, 3, 5 or 7/],
        [{ "peer-addresses": "127.0.0.1:1" }, /--peer-addresses .*ANNOUNCED=REACHED/],
        [{ "peer-addresses": "127.0.0.1:1=host:2" }, /--peer-addresses .*ANNOUNCED=REACHED/],
        [{ "peer-addresses": "127.0.0.1:1=127.0.0.1:2,127.0.0.1:1=127.0.0.1:3" }, /each announced address once/],
        [{ unheard: "x" }, /--unheard/],
        [{ "data-folder": undefined }, /--data-folder is missing; a control member needs one/],
        [{ "instance-id": "e9" }, /does not name "e9"/],
    ];
    for (const [changes, expected] of invalidSettings) {
        it(`names the flag, the value and the allowed values: ${JSON.stringify(changes)}`, () => {
            assert.throws(() => readEntrySettings(flagsWith(changes), {}), expected);
        });
    }

    it("names the invalid field of an initial configuration", () => {
        assert.throws(() => parseInitialConfiguration("{"), /not valid JSON/);
        assert.throws(
            () =>
                parseInitialConfiguration(JSON.stringify({ workspaces: [{ name: "a", ratePerSecond: 0, burst: 1 }] })),
            /workspaces\[0\]\.ratePerSecond/,
        );
    });
});
