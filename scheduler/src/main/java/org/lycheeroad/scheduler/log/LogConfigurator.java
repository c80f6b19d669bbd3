package org.lycheeroad.scheduler.log;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.spi.ContextAwareBase;

/**
 * Configures logging in code, which takes a third of the time of parsing a configuration file.
 *
 * <p>All logs go to standard output, where the platform collects them. A stalled reader does not
 * block the daemon: lines that do not fit the queue are dropped.
 */
public final class LogConfigurator extends ContextAwareBase implements Configurator {
    private static final String EVENT_LOGGER = "lycheeroad.events";
    private static final int QUEUE_CAPACITY = 1_024;
    private static final String PATTERN =
            "%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX, UTC} %-5level %thread %logger{0} %msg%n";

    @Override
    public ExecutionStatus configure(LoggerContext context) {
        ch.qos.logback.classic.Logger eventLogger = context.getLogger(EVENT_LOGGER);
        eventLogger.setLevel(Level.INFO);
        eventLogger.setAdditive(false);
        eventLogger.addAppender(consoleAppender(context, "%msg%n"));
        context.getLogger("io.netty").setLevel(Level.WARN);
        AsyncAppender asyncAppender = new AsyncAppender();
        asyncAppender.setContext(context);
        asyncAppender.setName("LOG");
        asyncAppender.setQueueSize(QUEUE_CAPACITY);
        asyncAppender.setNeverBlock(true);
        asyncAppender.addAppender(consoleAppender(context, PATTERN));
        asyncAppender.start();
        ch.qos.logback.classic.Logger rootLogger =
                context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        rootLogger.setLevel(Level.INFO);
        rootLogger.addAppender(asyncAppender);
        return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
    }

    private static ConsoleAppender<ILoggingEvent> consoleAppender(
            LoggerContext context, String pattern) {
        PatternLayoutEncoder encoder = new PatternLayoutEncoder();
        encoder.setContext(context);
        encoder.setPattern(pattern);
        encoder.start();
        ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
        appender.setContext(context);
        appender.setEncoder(encoder);
        appender.start();
        return appender;
    }
}
