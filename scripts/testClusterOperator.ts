/** Runs `jasmineline ctl` commands against a test cluster, each in its own process. */
import type { ExitCode } from "../src/cli/exitCode.ts";
import type { ShowResponse, StatusResponse } from "../src/rpc/generated/operator.ts";
import { type ProcessGroup, toFlags } from "./processGroup.ts";
import { type EntryHandle, requireEntryProgram } from "./testClusterEntry.ts";

export interface CtlResult {
    readonly exitCode: ExitCode | string;
    /** Last line of the output; the JSON response if the command succeeded. */
    readonly lastLine: string;
}

export interface TestClusterOperatorOptions {
    readonly group: ProcessGroup;
    readonly entries: readonly EntryHandle[];
    readonly clusterName: string;
    readonly clusterSecretFile: string;
}

export class TestClusterOperator {
    private readonly options: TestClusterOperatorOptions;

    constructor(options: TestClusterOperatorOptions) {
        this.options = options;
    }

    /**
     * Runs one command and waits until it ends.
     * @param servers instances that the command connects to; all by default
     */
    async run(commandArguments: readonly string[], servers = this.options.entries): Promise<CtlResult> {
        const { group, clusterName, clusterSecretFile } = this.options;
        const { program, commandArguments: programArguments } = requireEntryProgram();
        const flags = toFlags({
            server: servers.map(entry => `127.0.0.1:${entry.rpcPort}`).join(","),
            "cluster-name": clusterName,
            "cluster-secret-file": clusterSecretFile,
            output: "json",
        });
        const ctl = group.start({
            name: "ctl",
            program,
            commandArguments: [...programArguments, "ctl", ...commandArguments, ...flags],
        });
        const exitCode = await ctl.ended as ExitCode | string;
        return { exitCode, lastLine: ctl.recentLines.at(-1) ?? "" };
    }

    /**
     * Runs a command that must succeed, and parses its response.
     * @throws Error with the exit code and the output if the command fails
     */
    async runAndParse<Answer>(commandArguments: readonly string[], servers?: readonly EntryHandle[]): Promise<Answer> {
        const { exitCode, lastLine } = await this.run(commandArguments, servers);
        if (exitCode !== 0) {
            throw new Error(`"ctl ${commandArguments.join(" ")}" ended with ${exitCode}: ${lastLine}`);
        }
        return JSON.parse(lastLine) as Answer;
    }

    async status(entry: EntryHandle): Promise<StatusResponse> {
        return this.runAndParse<StatusResponse>(["status"], [entry]);
    }

    /** @throws Error if the work class does not exist */
    async readClassVersion(name: string): Promise<number> {
        const { workClasses } = await this.runAndParse<ShowResponse>(["class", "show"]);
        const matched = workClasses.find(each => each.body?.name === name);
        if (matched === undefined) {
            throw new Error(`there is no work class "${name}"`);
        }
        return matched.version;
    }

    /**
     * Finds the control leader according to the first instance that answers.
     * @throws Error if that instance names no leader of this cluster
     */
    async findControlLeader(): Promise<EntryHandle> {
        const { instance } = await this.runAndParse<StatusResponse>(["status"]);
        const leader = this.options.entries.find(entry => `127.0.0.1:${entry.rpcPort}` === instance?.leaderAddress);
        if (leader === undefined) {
            throw new Error(`"ctl status" names "${instance?.leaderAddress}" as the control leader`);
        }
        return leader;
    }
}
