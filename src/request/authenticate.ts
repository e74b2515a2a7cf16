/** Second step of the request pipe: authenticates callers and checks that their keys are still valid. */
import { match } from "ts-pattern";
import {
    type CallerDisconnect,
    CallerKind,
    type CallerLogin,
    type CallerLoginResult,
    type CallerStatement,
} from "../model/callerMessages.ts";
import { ClusterKind, type ConfigurationApplied, type ConfigurationProved } from "../model/clusterMessages.ts";
import { type Refusal, RefusalCode, refuse } from "../model/refusal.ts";
import type { CallerKey, OpenRoute, Workspace } from "../model/workspace.ts";
import type { Filter } from "../pipeline/filter.ts";
import type { Message } from "../pipeline/message.ts";
import { type AuthenticatedRequest, type RefusedRequest, RequestKind, type SessionEnded } from "./requestMessages.ts";

type Input = CallerLogin | CallerStatement | ConfigurationApplied | ConfigurationProved | SessionEnded;

/** Verifies that a caller knows a secret of which only the double SHA-1 is stored. */
export interface ProofVerifier {
    /** Compares in constant time. All arguments are in hexadecimal. */
    verify(challengeHex: string, proofHex: string, doubleSha1Hex: string): boolean;
}

interface Session {
    readonly callerId: string;
    readonly workspace: string;
    readonly service: string;
}

/** Age up to which a proof allows a refusal for good; an accepted configuration is in force within 18 s. */
const refusalProofMs = 10_000;

// Digest to verify against when the key id is unknown, so that the response time does not reveal which ids exist.
const unknownKeyDigestHex = "0".repeat(40);

/**
 * Binds a connection to the workspace of its key, and closes it when the key is withdrawn. Statements under a key are
 * also refused when this instance has no recent proof that its configuration, and thus its list of keys, is current.
 */
export class AuthenticateFilter implements Filter<Input, Message> {
    readonly step = "authenticate";
    readonly accepts = [
        CallerKind.Login,
        CallerKind.Statement,
        ClusterKind.ConfigurationApplied,
        ClusterKind.ConfigurationProved,
        RequestKind.SessionEnded,
    ];
    private readonly verifier: ProofVerifier;
    private readonly sessions = new Map<number, Session>();
    private keys = new Map<string, CallerKey>();
    private workspaces = new Map<string, Workspace>();
    private openRoutes = new Map<string, OpenRoute>();
    private version = -1;
    private provedAtMs = -Infinity;
    private pendingProof: ConfigurationProved | undefined;

    constructor(verifier: ProofVerifier) {
        this.verifier = verifier;
    }

    process(message: Input, nowMs: number): readonly Message[] {
        return match(message)
            .with({ kind: CallerKind.Login }, login => [this.login(login, nowMs)])
            .with({ kind: CallerKind.Statement }, statement => [this.checkStatement(statement, nowMs)])
            .with({ kind: ClusterKind.ConfigurationApplied }, applied => [...this.applyConfiguration(applied), applied])
            .with({ kind: ClusterKind.ConfigurationProved }, proved => this.recordProof(proved))
            .with({ kind: RequestKind.SessionEnded }, ended => this.endSession(ended))
            .exhaustive();
    }

    private login(login: CallerLogin, nowMs: number): CallerLoginResult {
        const refusal = this.checkLogin(login, nowMs);
        return { kind: CallerKind.LoginResult, connectionId: login.connectionId, refusal };
    }

    private checkLogin(login: CallerLogin, nowMs: number): Refusal | undefined {
        const session = login.keyId === "" ? this.createOpenSession(login) : this.createKeySession(login);
        if (session === undefined) {
            return this.refuseUnknown(nowMs);
        }
        const staleRefusal = this.checkProof(session, nowMs);
        if (staleRefusal === undefined) {
            this.sessions.set(login.connectionId, session);
        }
        return staleRefusal;
    }

    private createOpenSession(login: CallerLogin): Session | undefined {
        const route = this.openRoutes.get(login.service);
        return route && { callerId: "", workspace: route.workspace, service: login.service };
    }

    private createKeySession(login: CallerLogin): Session | undefined {
        const key = this.keys.get(login.keyId);
        const digestHex = key?.doubleSha1Hex ?? unknownKeyDigestHex;
        const isProofValid = this.verifier.verify(login.challengeHex, login.proofHex, digestHex);
        if (key === undefined || !isProofValid) {
            return undefined;
        }
        return { callerId: key.id, workspace: key.workspace, service: login.service };
    }

    private checkStatement(statement: CallerStatement, nowMs: number): AuthenticatedRequest | RefusedRequest {
        const { connectionId, sequence, text } = statement;
        const session = this.sessions.get(connectionId);
        const refusal = session === undefined
            ? refuse(RefusalCode.AccessDenied, this.step)
            : this.checkProof(session, nowMs);
        if (session === undefined || refusal !== undefined) {
            return { kind: RequestKind.Refused, connectionId, sequence, refusal: refusal!, request: undefined };
        }
        return { kind: RequestKind.Authenticated, connectionId, sequence, text, ...session, arrivedAtMs: nowMs };
    }

    /** Sessions on open routes have no key, so they need no proof that the key was not withdrawn. */
    private checkProof(session: Session, nowMs: number): Refusal | undefined {
        const validityMs = this.workspaces.get(session.workspace)?.keyValidityMs;
        if (validityMs === undefined) {
            return this.refuseUnknown(nowMs, { detail: "the workspace was removed" });
        }
        const isFresh = session.callerId === "" || nowMs - this.provedAtMs <= validityMs;
        return isFresh ? undefined : this.refuseStale();
    }

    /** Without a recent proof, the applied configuration may be older than what it lacks. */
    private refuseUnknown(nowMs: number, parts: { readonly detail?: string; } = {}): Refusal {
        return nowMs - this.provedAtMs > refusalProofMs
            ? this.refuseStale()
            : refuse(RefusalCode.AccessDenied, this.step, parts);
    }

    private refuseStale(): Refusal {
        return refuse(RefusalCode.ConfigurationStale, this.step, { retryAfterMs: 1_000 });
    }

    private applyConfiguration({ configuration }: ConfigurationApplied): readonly Message[] {
        if (configuration.version < this.version) {
            return [];
        }
        this.version = configuration.version;
        this.applyPendingProof();
        this.keys = new Map(configuration.keys.map(key => [key.id, key]));
        this.workspaces = new Map(configuration.workspaces.map(workspace => [workspace.name, workspace]));
        this.openRoutes = new Map(configuration.openRoutes.map(route => [route.service, route]));
        return [...this.sessions]
            .filter(([, session]) => !this.isAllowed(session))
            .flatMap(([connectionId]) => this.disconnect(connectionId));
    }

    private isAllowed(session: Session): boolean {
        return session.callerId === ""
            ? this.openRoutes.get(session.service)?.workspace === session.workspace
            : this.keys.get(session.callerId)?.workspace === session.workspace;
    }

    private disconnect(connectionId: number): readonly Message[] {
        this.sessions.delete(connectionId);
        const refusal = refuse(RefusalCode.KeyWithdrawn, this.step);
        const ended: SessionEnded = { kind: RequestKind.SessionEnded, connectionId, refusal };
        const disconnect: CallerDisconnect = { kind: CallerKind.Disconnect, connectionId, refusal };
        return [ended, disconnect];
    }

    /**
     * Records a proof that the current configuration had version `proved.version` at `provedAtMs`. The proof takes
     * effect once this instance has applied that version or a later one.
     */
    private recordProof(proved: ConfigurationProved): readonly Message[] {
        if (proved.version <= this.version) {
            this.provedAtMs = Math.max(this.provedAtMs, proved.provedAtMs);
        }
        else {
            this.pendingProof = proved;
        }
        return [proved];
    }

    private applyPendingProof(): void {
        const pending = this.pendingProof;
        if (pending !== undefined && pending.version <= this.version) {
            this.provedAtMs = Math.max(this.provedAtMs, pending.provedAtMs);
            this.pendingProof = undefined;
        }
    }

    private endSession(ended: SessionEnded): readonly Message[] {
        this.sessions.delete(ended.connectionId);
        return [ended];
    }
}
