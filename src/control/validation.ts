/** Checks of single fields of a command. */
import { isObjectName, objectNameDescription } from "../model/objectName.ts";

/** Text for the operator that says which field is invalid and what is allowed; undefined if the field is valid. */
export type ValidationError = string | undefined;

const addressPattern = /^[^\s]{1,255}:[0-9]{1,5}$/;
const maximumTextLength = 256;
const doubleSha1Pattern = /^[0-9a-f]{40}$/;

export function firstError(...errors: readonly ValidationError[]): ValidationError {
    return errors.find(error => error !== undefined);
}

export function checkName(field: string, value: string): ValidationError {
    return isObjectName(value) ? undefined : `${field} must have ${objectNameDescription}`;
}

/** For names that come from elsewhere, and may hold any character. */
export function checkText(field: string, value: string): ValidationError {
    return typeof value === "string" && value.length > 0 && value.length <= maximumTextLength
        ? undefined
        : `${field} must have 1 to ${maximumTextLength} characters`;
}

export function checkResourceId(field: string, value: string): ValidationError {
    const names = typeof value === "string" ? value.split("@") : [];
    return (names.length === 1 || names.length === 2) && names.every(isObjectName)
        ? undefined
        : `${field} must be a name or two names joined by "@"`;
}

export function checkAddress(field: string, value: string): ValidationError {
    return matches(value, addressPattern) ? undefined : `${field} must be host:port`;
}

export function checkDoubleSha1(field: string, value: string): ValidationError {
    return matches(value, doubleSha1Pattern) ? undefined : `${field} must have 40 lower-case hexadecimal digits`;
}

export function checkNonNegative(field: string, value: number): ValidationError {
    return Number.isFinite(value) && value >= 0 ? undefined : `${field} must be a finite number of at least 0`;
}

export function checkAtLeast(field: string, value: number, minimum: number): ValidationError {
    return Number.isFinite(value) && value >= minimum
        ? undefined
        : `${field} must be a finite number of at least ${minimum}`;
}

export function checkPositive(field: string, value: number): ValidationError {
    return Number.isFinite(value) && value > 0 ? undefined : `${field} must be a finite number above 0`;
}

/** For counts, terms, epochs and versions. */
export function checkNonNegativeInteger(field: string, value: number): ValidationError {
    return Number.isSafeInteger(value) && value >= 0 ? undefined : `${field} must be a whole number of at least 0`;
}

export function checkFraction(field: string, value: number): ValidationError {
    return value > 0 && value < 1 ? undefined : `${field} must lie between 0 and 1, both excluded`;
}

export function checkOneOf(field: string, value: string, allowed: readonly string[]): ValidationError {
    return allowed.includes(value) ? undefined : `${field} must be one of: ${allowed.join(", ")}`;
}

export function checkLength(
    field: string,
    values: readonly unknown[],
    minimum: number,
    maximum: number,
): ValidationError {
    return Array.isArray(values) && values.length >= minimum && values.length <= maximum
        ? undefined
        : `${field} must have ${minimum} to ${maximum} elements`;
}

export function checkDistinct(field: string, values: readonly string[]): ValidationError {
    return new Set(values).size === values.length ? undefined : `${field} must not repeat an element`;
}

function matches(value: unknown, pattern: RegExp): boolean {
    return typeof value === "string" && pattern.test(value);
}
