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

/** Guards the module rules of design section 2 against a dependency that slips in. */
class LayerRulesTest {
    private static final String ROOT = "org.lycheeroad.";
    private static final String IMPURE = ROOT + "systemtests.layers.impure..";
    private static final String[] PURE = {ROOT + "state..", ROOT + "coordination.."};

    /** Commons CSV declares these for parsing a string in memory. */
    private static final Set<String> IN_MEMORY =
            Set.of(IOException.class.getName(), UncheckedIOException.class.getName());

    private static final JavaClasses CLASSES =
            new ClassFileImporter().importPackages("org.lycheeroad");

    @Test
    void pureLayersDoNoInputOrOutput() {
        check(noInputOrOutput(PURE), noInputOrOutput(IMPURE));
    }

    @Test
    void pureLayersReadNoClock() {
        check(noClock(PURE), noClock(IMPURE));
    }

    @Test
    void pureLayersDrawNoUnseededNumbers() {
        check(noUnseededNumbers(PURE), noUnseededNumbers(IMPURE));
    }

    @Test
    void onlyTestsUseStandIns() {
        check(
                noStandIns(
                        PURE[0],
                        PURE[1],
                        ROOT + "protocol..",
                        ROOT + "transport..",
                        ROOT + "entry..",
                        ROOT + "scheduler..",
                        ROOT + "platform..",
                        ROOT + "cli.."),
                noStandIns(IMPURE));
    }

    @Test
    void layersDependOnlyDownwards() {
        List<String> order =
                List.of("state..", "protocol..", "transport..", "entry..", "standins..");
        for (int lower = 0; lower < order.size(); lower++) {
            for (String higher : order.subList(lower + 1, order.size())) {
                noClasses()
                        .that(resideInAPackage(ROOT + order.get(lower)))
                        .should()
                        .dependOnClassesThat(resideInAPackage(ROOT + higher))
                        .check(CLASSES);
            }
        }
        noClasses()
                .that(resideInAnyPackage(ROOT + "protocol..", ROOT + "transport..", ROOT + "cli.."))
                .should()
                .dependOnClassesThat(resideInAPackage(ROOT + "coordination.."))
                .check(CLASSES);
        noClasses()
                .that(resideInAPackage(ROOT + "coordination.."))
                .should()
                .dependOnClassesThat(
                        resideInAnyPackage(
                                ROOT + "protocol..", ROOT + "transport..", ROOT + "entry.."))
                .check(CLASSES);
    }

    /** The adapter may know the scheduler; nothing but stand-ins and tests may know the adapter. */
    @Test
    void onlyTheAdapterKnowsThePlatform() {
        noClasses()
                .that(
                        resideInAnyPackage(
                                PURE[0],
                                PURE[1],
                                ROOT + "protocol..",
                                ROOT + "transport..",
                                ROOT + "scheduler..",
                                ROOT + "entry..",
                                ROOT + "cli.."))
                .should()
                .dependOnClassesThat(resideInAPackage(ROOT + "platform.."))
                .check(CLASSES);
        noClasses()
                .that(resideInAPackage(ROOT + "platform.."))
                .should()
                .dependOnClassesThat(resideInAPackage(ROOT + "entry.."))
                .check(CLASSES);
    }

    /** Guards against names of the platform's wire that leak into the product. */
    @Test
    void namesOfTheWireStayInTheAdapter() throws IOException {
        List<String> names =
                List.of("run-start", "kv-txn", "kv-watch", "expires_ms", "LYCHEEROAD_NODE_FILE");
        Path root = Path.of("").toAbsolutePath().getParent();
        List<String> found = new ArrayList<>();
        for (String module : List.of("state", "coordination", "transport", "scheduler", "cli")) {
            try (Stream<Path> files = Files.walk(root.resolve(module).resolve("src/main"))) {
                for (Path file : files.filter(f -> f.toString().endsWith(".java")).toList()) {
                    String text = Files.readString(file);
                    names.stream().filter(text::contains).forEach(n -> found.add(n + file));
                }
            }
        }
        assertThat(found).isEmpty();
    }

    /** Checks a rule, and that the same rule finds the class that breaks it. */
    private static void check(ArchRule rule, ArchRule sameForImpure) {
        rule.check(CLASSES);
        assertThat(sameForImpure.evaluate(CLASSES).hasViolation()).isTrue();
    }

    private static ArchRule noInputOrOutput(String... packages) {
        DescribedPredicate<JavaClass> inputOrOutput =
                resideInAnyPackage("java.io..", "java.net..", "java.nio.channels..", "io.netty..")
                        .and(describe("not in memory", c -> !IN_MEMORY.contains(c.getName())));
        return noClasses()
                .that(resideInAnyPackage(packages))
                .should()
                .dependOnClassesThat(inputOrOutput);
    }

    private static ArchRule noClock(String... packages) {
        return noClasses()
                .that(resideInAnyPackage(packages))
                .should()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(Instant.class, "now");
    }

    private static ArchRule noUnseededNumbers(String... packages) {
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

    private static ArchRule noStandIns(String... packages) {
        return noClasses()
                .that(resideInAnyPackage(packages))
                .should()
                .dependOnClassesThat(resideInAPackage(ROOT + "standins.."));
    }
}
