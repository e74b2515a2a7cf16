/** Files that the processes of a test cluster read. */
import { randomBytes } from "node:crypto";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { doubleSha1Hex } from "../src/frontend/proofVerifier.ts";
import type { CallersFile } from "../standins/load/settings.ts";

const workspaceCount = 8;
/** Well above the rate of the load, so that every refusal because of the rate is wrongful. */
const ratePerSecond = 1_000;
const burst = 500;
const keyValidityMs = 10_000;

/** A temporary folder for the files of one cluster; removed on disposal. */
export class TestClusterFiles implements Disposable {
    readonly folder: string;
    readonly callers: CallersFile;
    readonly databasePassword = randomBytes(12).toString("hex");
    // Also runs on exit, because an interrupted script exits without disposal.
    private readonly removeFolder = () => rmSync(this.folder, { recursive: true, force: true });

    constructor() {
        this.folder = mkdtempSync(join(tmpdir(), "jasmineline-cluster-"));
        process.on("exit", this.removeFolder);
        this.callers = makeCallers();
        writeFileSync(this.clusterSecretFile, randomBytes(24).toString("hex"));
        writeFileSync(this.databasePasswordFile, this.databasePassword);
        writeFileSync(this.callersFile, JSON.stringify(this.callers));
        writeFileSync(this.initialConfigurationFile, JSON.stringify(initialConfiguration(this.callers)));
    }

    get clusterSecretFile(): string {
        return join(this.folder, "cluster-secret");
    }

    get databasePasswordFile(): string {
        return join(this.folder, "database-password");
    }

    get callersFile(): string {
        return join(this.folder, "callers.json");
    }

    get initialConfigurationFile(): string {
        return join(this.folder, "initial-configuration.json");
    }

    dataFolder(instanceId: string): string {
        return join(this.folder, instanceId);
    }

    [Symbol.dispose](): void {
        this.removeFolder();
        process.off("exit", this.removeFolder);
    }
}

function makeCallers(): CallersFile {
    const names = Array.from({ length: workspaceCount }, (_unused, index) => `w${index + 1}`);
    return {
        keys: names.map(workspace => ({
            keyId: `key-${workspace}`,
            secret: randomBytes(12).toString("hex"),
            workspace,
        })),
        workspaces: names.map(name => ({ name, ratePerSecond, burst })),
    };
}

function initialConfiguration({ keys, workspaces }: CallersFile): object {
    return {
        workClasses: [
            { name: "orders", maximumAgeMs: 0, waitingMs: 2_000, repeat: "never", objectiveShare: 0.999 },
            { name: "redemptions", maximumAgeMs: 0, waitingMs: 2_000, repeat: "never", objectiveShare: 0.999 },
            { name: "lookups", maximumAgeMs: 1_000, waitingMs: 1_000, repeat: "reads", objectiveShare: 0.999 },
        ],
        workspaces: workspaces.map(workspace => ({ ...workspace, keyValidityMs })),
        keys: keys.map(key => ({ id: key.keyId, workspace: key.workspace, doubleSha1Hex: doubleSha1Hex(key.secret) })),
        openRoutes: [],
    };
}
