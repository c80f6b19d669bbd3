package org.lycheeroad.scheduler.intake;

/**
 * What all calls of callers have.
 *
 * @param apiKey the caller's key, or an empty string
 * @param budgetMs how long the caller waits for the answer, in milliseconds
 */
public record ApiRequest(String host, String path, String apiKey, long timeoutMs) {}
