package org.lycheeroad.systemtests.layers;

import static com.tngtech.archunit.base.DescribedPredicate.describe;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAPackage;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAnyPackage;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static org.assertj.core.api.Assertions.assertThat;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.lang.ArchRule;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.ThreadLocalRandom;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Guards against dependencies that violate the module rules in section 2 of the design. */
class LayerRulesTest {
    private static final String ROOT_PACKAGE = "org.lycheeroad.";
    private static final String VIOLATING_PACKAGE = ROOT_PACKAGE + "systemtests.layers.impure..";
    private static final String[] PURE_PACKAGES = {
        ROOT_PACKAGE + "state..", ROOT_PACKAGE + "coordination.."
    };

    /** Allowed because Commons CSV declares them even for parsing a string in memory. */
    private static final Set<String> ALLOWED_IO_CLASSES =
            Set.of(IOException.class.getName(), UncheckedIOException.class.getName());

    private static final JavaClasses CLASSES =
            new ClassFileImporter().importPackages("org.lycheeroad");

    @Test
    void pureLayersDoNotUseIo() {
        checkRuleAndItsViolation(noIo(PURE_PACKAGES), noIo(VIOLATING_PACKAGE));
    }

    @Test
    void pureLayersDoNotReadTheClock() {
        checkRuleAndItsViolation(noClockReads(PURE_PACKAGES), noClockReads(VIOLATING_PACKAGE));
    }

    @Test
    void pureLayersDoNotUseUnseededRandomness() {
        checkRuleAndItsViolation(
                noUnseededRandomness(PURE_PACKAGES), noUnseededRandomness(VIOLATING_PACKAGE));
    }

    @Test
    void onlyTestsUseStandIns() {
        checkRuleAndItsViolation(
                noStandInDependencies(
                        PURE_PACKAGES[0],
                        PURE_PACKAGES[1],
                        ROOT_PACKAGE + "protocol..",
                        ROOT_PACKAGE + "transport..",
                        ROOT_PACKAGE + "entry..",
                        ROOT_PACKAGE + "scheduler..",
                        ROOT_PACKAGE + "platform..",
                        ROOT_PACKAGE + "cli.."),
                noStandInDependencies(VIOLATING_PACKAGE));
    }

    @Test
    void layersDependOnlyDownwards() {
        List<String> order =
                List.of("state..", "protocol..", "transport..", "entry..", "standins..");
        for (int lower = 0; lower < order.size(); lower++) {
            for (String higher : order.subList(lower + 1, order.size())) {
                noClasses()
                        .that(resideInAPackage(ROOT_PACKAGE + order.get(lower)))
                        .should()
                        .dependOnClassesThat(resideInAPackage(ROOT_PACKAGE + higher))
                        .check(CLASSES);
            }
        }
        noClasses()
                .that(
                        resideInAnyPackage(
                                ROOT_PACKAGE + "protocol..",
                                ROOT_PACKAGE + "transport..",
                                ROOT_PACKAGE + "cli.."))
                .should()
                .dependOnClassesThat(resideInAPackage(ROOT_PACKAGE + "coordination.."))
                .check(CLASSES);
        noClasses()
                .that(resideInAPackage(ROOT_PACKAGE + "coordination.."))
                .should()
                .dependOnClassesThat(
                        resideInAnyPackage(
                                ROOT_PACKAGE + "protocol..",
                                ROOT_PACKAGE + "transport..",
                                ROOT_PACKAGE + "entry.."))
                .check(CLASSES);
    }

    /** The platform adapter may use the scheduler; only stand-ins and tests may use the adapter. */
    @Test
    void onlyStandInsAndTestsDependOnThePlatformAdapter() {
        noClasses()
                .that(
                        resideInAnyPackage(
                                PURE_PACKAGES[0],
                                PURE_PACKAGES[1],
                                ROOT_PACKAGE + "protocol..",
                                ROOT_PACKAGE + "transport..",
                                ROOT_PACKAGE + "scheduler..",
                                ROOT_PACKAGE + "entry..",
                                ROOT_PACKAGE + "cli.."))
                .should()
                .dependOnClassesThat(resideInAPackage(ROOT_PACKAGE + "platform.."))
                .check(CLASSES);
        noClasses()
                .that(resideInAPackage(ROOT_PACKAGE + "platform.."))
                .should()
                .dependOnClassesThat(resideInAPackage(ROOT_PACKAGE + "entry.."))
                .check(CLASSES);
    }

    /** Guards against names of the platform's protocol in modules other than the adapter. */
    @Test
    void platformProtocolNamesOccurOnlyInTheAdapter() throws IOException {
        List<String> names =
                List.of("run-start", "kv-txn", "kv-watch", "expires_ms", "LYCHEEROAD_NODE_FILE");
        Path root = Path.of("").toAbsolutePath().getParent();
        List<String> occurrences = new ArrayList<>();
        for (String module : List.of("state", "coordination", "transport", "scheduler", "cli")) {
            try (Stream<Path> files = Files.walk(root.resolve(module).resolve("src/main"))) {
                for (Path file : files.filter(f -> f.toString().endsWith(".java")).toList()) {
                    String text = Files.readString(file);
                    names.stream().filter(text::contains).forEach(n -> occurrences.add(n + file));
                }
            }
        }
        assertThat(occurrences).isEmpty();
    }

    /** Checks a rule, and that the same rule detects the class that violates it. */
    private static void checkRuleAndItsViolation(ArchRule rule, ArchRule ruleForViolator) {
        rule.check(CLASSES);
        assertThat(ruleForViolator.evaluate(CLASSES).hasViolation()).isTrue();
    }

    private static ArchRule noIo(String... packages) {
        DescribedPredicate<JavaClass> ioClass =
                resideInAnyPackage("java.io..", "java.net..", "java.nio.channels..", "io.netty..")
                        .and(
                                describe(
                                        "not declared by in-memory parsing",
                                        c -> !ALLOWED_IO_CLASSES.contains(c.getName())));
        return noClasses().that(resideInAnyPackage(packages)).should().dependOnClassesThat(ioClass);
    }

    private static ArchRule noClockReads(String... packages) {
        return noClasses()
                .that(resideInAnyPackage(packages))
                .should()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(Instant.class, "now");
    }

    private static ArchRule noUnseededRandomness(String... packages) {
        return noClasses()
                .that(resideInAnyPackage(packages))
                .should()
                .callMethod(Math.class, "random")
                .orShould()
                .callMethod(UUID.class, "randomUUID")
                .orShould()
                .callConstructor(Random.class)
                .orShould()
                .dependOnClassesThat()
                .areAssignableTo(ThreadLocalRandom.class);
    }

    private static ArchRule noStandInDependencies(String... packages) {
        return noClasses()
                .that(resideInAnyPackage(packages))
                .should()
                .dependOnClassesThat(resideInAPackage(ROOT_PACKAGE + "standins.."));
    }
}
