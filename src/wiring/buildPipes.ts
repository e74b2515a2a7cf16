/** Builds the pipes of an instance. The same function serves a live process and a replay. */
import { SoleInstance } from "../health/soleInstance.ts";
import { Acquire } from "../holder/acquire.ts";
import { Confirm } from "../holder/confirm.ts";
import { Execute } from "../holder/execute.ts";
import { Floors } from "../holder/floors.ts";
import { Freshness } from "../holder/freshness.ts";
import { defaultHolderSettings, type HolderSettings } from "../holder/holderSettings.ts";
import { Monitor } from "../holder/monitor.ts";
import { Orders } from "../holder/orders.ts";
import { Pipe } from "../pipeline/pipe.ts";
import { SeededRandom } from "../pipeline/seededRandom.ts";
import { GrantPermits } from "../rates/grantPermits.ts";
import { AcceptFilter } from "../request/accept.ts";
import { AdmitRequests } from "../request/admit.ts";
import { AnswerFilter } from "../request/answer.ts";
import { AuthenticateFilter, type ProofVerifier } from "../request/authenticate.ts";
import { ClassifyFilter } from "../request/classify.ts";
import { RouteFilter } from "../request/route.ts";
import type { SessionTokenCodec } from "../request/sessionState.ts";

/** What the filters of an instance depend on, in a form that a trace can hold. */
export interface PipeOptions {
    readonly instanceId: string;
    /** Differs with each start of the process. */
    readonly incarnation: string;
    readonly dataCentre: string;
    /** `host:port` of the gRPC listener as other instances reach it. */
    readonly rpcAddress: string;
    readonly seed: number;
    readonly maximumConnections: number;
    readonly maximumStatementBytes: number;
    readonly statementLimitMs: number;
    readonly confirmationLimitMs: number;
}

/** The two pieces of cryptography that the filters use. */
export interface PipeSecrets {
    readonly verifier: ProofVerifier;
    readonly tokens: SessionTokenCodec;
}

/** Builds the pipes, in the order in which each event visits them. */
export function buildPipes(options: PipeOptions, secrets: PipeSecrets): readonly Pipe[] {
    return [
        buildHealthPipe(options),
        buildRequestPipe(options, secrets),
        buildRatePipe(options),
        buildHolderPipe(options),
    ];
}

function buildHealthPipe({ instanceId, rpcAddress, dataCentre }: PipeOptions): Pipe {
    return new Pipe("health", [new SoleInstance({ instanceId, instanceAddress: rpcAddress, dataCentre })]);
}

function buildRequestPipe(options: PipeOptions, { verifier, tokens }: PipeSecrets): Pipe {
    return new Pipe("request", [
        new AcceptFilter(options),
        new AuthenticateFilter(verifier),
        new ClassifyFilter(),
        new AdmitRequests(options),
        new RouteFilter({ ...options, tokens, random: new SeededRandom(options.seed) }),
        new AnswerFilter(),
    ]);
}

function buildRatePipe({ dataCentre }: PipeOptions): Pipe {
    return new Pipe("rates", [new GrantPermits({ dataCentre })]);
}

function buildHolderPipe({ seed, statementLimitMs, confirmationLimitMs }: PipeOptions): Pipe {
    const settings: HolderSettings = { ...defaultHolderSettings, statementLimitMs, confirmationLimitMs };
    return new Pipe("holder", [
        new Monitor({ settings }),
        new Orders({ settings }),
        new Freshness({ settings }),
        new Acquire({ settings, random: new SeededRandom(seed + 1) }),
        new Execute({ settings, random: new SeededRandom(seed + 2) }),
        new Floors({ settings }),
        new Confirm({ settings }),
    ]);
}
