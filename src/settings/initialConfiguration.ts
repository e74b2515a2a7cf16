/** Parses the JSON file with the initial configuration of a new cluster. */
import * as z from "zod";
import { type Command, CommandKind } from "../model/controlMessages.ts";
import { RepeatPolicy } from "../model/workClass.ts";

const nameSchema = z.string().regex(/^[\w.-]{1,64}$/);

const configurationSchema = z.strictObject({
    workClasses: z.array(z.strictObject({
        name: nameSchema,
        maximumAgeMs: z.number().nonnegative(),
        waitingMs: z.number().positive(),
        repeat: z.enum(Object.values(RepeatPolicy)),
        objectiveShare: z.number().gt(0).lt(1),
    })).default([]),
    workspaces: z.array(z.strictObject({
        name: nameSchema,
        ratePerSecond: z.number().positive(),
        burst: z.number().min(1),
        keyValidityMs: z.number().positive(),
    })).default([]),
    keys: z.array(z.strictObject({
        id: nameSchema,
        workspace: nameSchema,
        doubleSha1Hex: z.string().regex(/^[0-9a-f]{40}$/),
    })).default([]),
    openRoutes: z.array(z.strictObject({ service: nameSchema, workspace: nameSchema })).default([]),
});

/**
 * Converts the text of the file into commands that create its objects.
 * @throws Error that names each invalid field and the reason
 */
export function parseInitialConfiguration(text: string): readonly Command[] {
    const parsed = configurationSchema.safeParse(parseJson(text));
    if (!parsed.success) {
        throw new Error(z.prettifyError(parsed.error));
    }
    const expectedVersion = 0;
    const { workClasses, workspaces, keys, openRoutes } = parsed.data;
    return [
        ...workClasses.map(workClass => ({ kind: CommandKind.SetWorkClass, workClass, expectedVersion })),
        ...workspaces.map(workspace => ({ kind: CommandKind.SetWorkspace, workspace, expectedVersion })),
        ...keys.map(key => ({ kind: CommandKind.IssueKey, key, expectedVersion })),
        ...openRoutes.map(openRoute => ({ kind: CommandKind.SetOpenRoute, openRoute, expectedVersion })),
    ];
}

function parseJson(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch (error) {
        throw new Error(`not valid JSON: ${(error as Error).message}`, { cause: error });
    }
}
