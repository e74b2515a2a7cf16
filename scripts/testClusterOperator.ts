/** Commands of `jasmineline ctl` against a test cluster, each in a process of its own. */
import type { ExitCode } from "../src/cli/exitCode.ts";
import type { ShowResponse, StatusResponse } from "../src/rpc/generated/operator.ts";
import { type ProcessGroup, toFlags } from "./processGroup.ts";
import { type EntryHandle, requireEntryProgram } from "./testClusterEntry.ts";

export interface CtlResult {
    readonly exitCode: ExitCode | string;
    /** Last line of the output. */
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
     * Runs one command to its end.
     * @param servers instances to ask; all by default
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
        return { exitCode, lastLine: ctl.lines.at(-1) ?? "" };
    }

    /**
     * Runs a command that must succeed, and reads its answer.
     * @throws Error with the exit code and the output
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

    /** @throws Error when the class does not exist */
    async classVersion(name: string): Promise<number> {
        const { workClasses } = await this.runAndParse<ShowResponse>(["class", "show"]);
        const found = workClasses.find(each => each.body?.name === name);
        if (found === undefined) {
            throw new Error(`there is no work class "${name}"`);
        }
        return found.version;
    }

    /**
     * The instance that leads the control state, as the first instance that answers names it.
     * @throws Error when none is named
     */
    async controlLeader(): Promise<EntryHandle> {
        const { instance } = await this.runAndParse<StatusResponse>(["status"]);
        const leader = this.options.entries.find(entry => `127.0.0.1:${entry.rpcPort}` === instance?.leaderAddress);
        if (leader === undefined) {
            throw new Error(`"ctl status" names "${instance?.leaderAddress}" as the control leader`);
        }
        return leader;
    }
}
