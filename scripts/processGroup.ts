/** Child processes of a script; they are terminated when the script exits. */
import { type ChildProcess, spawn } from "node:child_process";
import { randomInt } from "node:crypto";
import { once } from "node:events";
import { createWriteStream, mkdirSync, type WriteStream } from "node:fs";
import { type AddressInfo, createServer, type Server } from "node:net";
import { join } from "node:path";
import { createInterface } from "node:readline";

/** Time between SIGTERM and SIGKILL when a process is stopped. */
const stopTimeoutMs = 3_000;
/** Number of last output lines per process that are kept in memory for error messages. */
const maximumRecentLines = 40;

export interface Command {
    readonly name: string;
    readonly program: string;
    readonly commandArguments: readonly string[];
    /** Variables in addition to those of this process. */
    readonly environment?: Readonly<Record<string, string>>;
}

/** Command that runs a TypeScript file of the repository. */
export function scriptCommand(name: string, file: string, flags: Readonly<Record<string, string | number>>): Command {
    return { name, program: process.execPath, commandArguments: ["--import", "tsx", file, ...toFlags(flags)] };
}

export function toFlags(flags: Readonly<Record<string, string | number>>): readonly string[] {
    return Object.entries(flags).flatMap(([name, value]) => [`--${name}`, String(value)]);
}

export class ManagedProcess {
    readonly name: string;
    /** Last lines of standard output and standard error, at most `maximumRecentLines`. */
    readonly recentLines: string[] = [];
    /** Resolves to the exit code, or to the name of the signal that ended the process. */
    readonly ended: Promise<number | string>;
    private readonly child: ChildProcess;
    private hasEnded = false;
    private readonly listeners = new Set<(line: string) => void>();
    private readonly logStream: WriteStream | undefined;

    /** @param logFile file to which the whole output is appended, also after a restart of the process */
    constructor(command: Command, logFile?: string) {
        this.name = command.name;
        this.logStream = logFile === undefined ? undefined : createWriteStream(logFile, { flags: "a" });
        this.child = spawn(command.program, [...command.commandArguments], {
            stdio: ["ignore", "pipe", "pipe"],
            env: { ...process.env, ...command.environment },
        });
        const outputEnds = [this.child.stdout!, this.child.stderr!].map(stream => {
            const lines = createInterface({ input: stream });
            lines.on("line", line => this.receive(line));
            return once(lines, "close");
        });
        this.ended = once(this.child, "close").then(async ([code, signal]) => {
            this.hasEnded = true;
            await Promise.all(outputEnds);
            await this.endLog();
            return (code ?? signal) as number | string;
        });
    }

    get pid(): number {
        return this.child.pid!;
    }

    get isRunning(): boolean {
        return !this.hasEnded;
    }

    /** The program runs; before, a signal ends the process whatever the program does with it. */
    get hasWrittenOutput(): boolean {
        return this.recentLines.length > 0;
    }

    signal(name: NodeJS.Signals): void {
        if (!this.hasEnded) {
            this.child.kill(name);
        }
    }

    /**
     * Waits for a line of output that contains `text` or meets the condition, and returns the line.
     * @throws Error with the last output if the process ends first or `timeoutMs` passes
     */
    async waitForLine(text: string | ((line: string) => boolean), timeoutMs: number): Promise<string> {
        const isMatch = typeof text === "string" ? (line: string): boolean => line.includes(text) : text;
        const earlierLine = this.recentLines.find(isMatch);
        if (earlierLine !== undefined) {
            return earlierLine;
        }
        return new Promise<string>((resolve, reject) => {
            const stopWaiting = (): void => {
                clearTimeout(timer);
                this.listeners.delete(listener);
            };
            const fail = (reason: number | string): void => {
                stopWaiting();
                reject(
                    new Error(`${this.name} wrote no line with ${text} (${reason}):\n${this.recentLines.join("\n")}`),
                );
            };
            const listener = (line: string): void => {
                if (isMatch(line)) {
                    stopWaiting();
                    resolve(line);
                }
            };
            const timer = setTimeout(fail, timeoutMs, "timeout").unref();
            this.listeners.add(listener);
            this.ended.then(fail, reject);
        });
    }

    onLine(listener: (line: string) => void): void {
        this.listeners.add(listener);
    }

    /** Stops the process with SIGTERM, or with SIGKILL if it does not end within `stopTimeoutMs`. */
    async stop(): Promise<void> {
        this.signal("SIGCONT");
        this.signal("SIGTERM");
        const timer = setTimeout(() => this.signal("SIGKILL"), stopTimeoutMs);
        await this.ended;
        clearTimeout(timer);
    }

    private async endLog(): Promise<void> {
        if (this.logStream !== undefined) {
            this.logStream.end();
            await once(this.logStream, "finish");
        }
    }

    private receive(line: string): void {
        this.logStream?.write(`${line}\n`);
        this.recentLines.push(line);
        if (this.recentLines.length > maximumRecentLines) {
            this.recentLines.shift();
        }
        this.listeners.forEach(listener => listener(line));
    }
}

/** Stops its processes on disposal, and kills them on SIGINT, on SIGTERM and when the script exits in any other way. */
export class ProcessGroup implements AsyncDisposable {
    private readonly processes = new Set<ManagedProcess>();
    private readonly killAll = () => this.processes.forEach(member => member.signal("SIGKILL"));
    private readonly interrupt = () => {
        this.killAll();
        process.exit(130);
    };

    private readonly logFolder: string | undefined;

    /** @param logFolder folder for one output file per process name; without it, the output is not written to files */
    constructor(logFolder?: string) {
        this.logFolder = logFolder;
        if (logFolder !== undefined) {
            mkdirSync(logFolder, { recursive: true });
        }
        process.on("exit", this.killAll);
        process.on("SIGINT", this.interrupt);
        process.on("SIGTERM", this.interrupt);
    }

    start(command: Command): ManagedProcess {
        const logFile = this.logFolder === undefined ? undefined : join(this.logFolder, `${command.name}.log`);
        const member = new ManagedProcess(command, logFile);
        this.processes.add(member);
        void member.ended.then(() => this.processes.delete(member));
        return member;
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await Promise.all([...this.processes].map(member => member.stop()));
        process.off("exit", this.killAll);
        process.off("SIGINT", this.interrupt);
        process.off("SIGTERM", this.interrupt);
    }
}

/**
 * Range below the ephemeral ports that the system assigns to outgoing connections and to listeners on port 0. In the
 * ephemeral range, a relay or a connection could take a port after it was chosen and before its process listens.
 */
const minimumPort = 15_000;
const maximumPort = 32_000;
const maximumPortAttempts = 1_000;

/**
 * Finds free ports on loopback. All are open at the same time during the search, so that no port is returned twice.
 * @throws Error if too few ports are free
 */
export async function findFreePorts(count: number): Promise<readonly number[]> {
    const servers: Server[] = [];
    try {
        for (let attempt = 0; attempt < maximumPortAttempts && servers.length < count; attempt++) {
            const server = await listenOn(randomInt(minimumPort, maximumPort));
            servers.push(...server === undefined ? [] : [server]);
        }
        if (servers.length < count) {
            throw new Error(`only ${servers.length} of ${count} ports are free from ${minimumPort} to ${maximumPort}`);
        }
        return servers.map(server => (server.address() as AddressInfo).port);
    }
    finally {
        await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))));
    }
}

/**
 * Listens on a loopback port; returns undefined if the port is in use.
 * @throws Error if it cannot listen for another reason
 */
async function listenOn(port: number): Promise<Server | undefined> {
    const server = createServer().listen(port, "127.0.0.1");
    try {
        await once(server, "listening");
        return server;
    }
    catch (error) {
        if ((error as NodeJS.ErrnoException).code === "EADDRINUSE") {
            return undefined;
        }
        throw error;
    }
}
