import assert from "node:assert/strict";
import { mkdtempSync, renameSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterEach, beforeEach, describe, it, mock } from "node:test";
import { SettingsWatcher } from "../settingsWatcher.ts";

/** Time within which a change must be noticed; the seeds of the users' platform lag by 3 s already. */
const noticeLimitMs = 3_000;

describe("settings watcher", () => {
    beforeEach(() => mock.timers.enable({ apis: ["setInterval"] }));
    afterEach(() => mock.timers.reset());

    it("notices a change without a signal, a replaced file and one that is gone, once each", () => {
        const folder = mkdtempSync(join(tmpdir(), "settings-"));
        const path = join(folder, "settings.json");
        writeFileSync(path, "1");
        using watcher = new SettingsWatcher(path);
        // Written before the watch starts, as while the process starts.
        writeFileSync(path, "2");
        let changes = 0;
        watcher.start(() => changes += 1);
        const countAfter = (change: () => void): number => {
            change();
            mock.timers.tick(noticeLimitMs);
            mock.timers.tick(noticeLimitMs);
            return changes;
        };
        assert.equal(countAfter(() => undefined), 1);
        assert.equal(countAfter(() => undefined), 1);
        assert.equal(countAfter(() => writeFileSync(path, "3")), 2);
        assert.equal(
            countAfter(() => {
                writeFileSync(`${path}.new`, "4");
                renameSync(`${path}.new`, path);
            }),
            3,
        );
        assert.equal(countAfter(() => rmSync(path)), 4);
        rmSync(folder, { recursive: true });
    });
});
